package engine

import "hawthornrill.example/hawthornrill/prefix"

// memory accounts for KV tokens: those in cached blocks, which sequences share,
// and private tokens, which belong to one sequence.
type memory struct {
	limit         int
	privateTokens int
	cache         *cache
}

func (m *memory) free() int { return m.limit - m.privateTokens - m.cache.len()*prefix.BlockTokens }

// pinned returns the number of tokens that can't be evicted.
func (m *memory) pinned() int { return m.privateTokens + m.cache.used()*prefix.BlockTokens }

// reserve allocates private tokens, evicting unused blocks as needed. If there is
// not enough memory it allocates nothing and returns false.
func (m *memory) reserve(tokens int) bool {
	if m.limit-m.pinned() < tokens {
		return false
	}
	for m.free() < tokens {
		m.cache.evict()
	}
	m.privateTokens += tokens
	return true
}

// insertResult counts the blocks that are cached after insert (total) and those of
// them that insert added (stored).
type insertResult struct{ total, stored int }

// insert adds the leading blocks that fit to the cache, without users.
func (m *memory) insert(blocks []uint64) insertResult {
	var result insertResult
	for _, hash := range blocks {
		if !m.cache.acquire(hash) {
			if !m.reserve(prefix.BlockTokens) {
				break
			}
			m.privateTokens -= prefix.BlockTokens
			m.cache.store(hash)
			result.stored++
		}
		result.total++
	}
	// The blocks stay in use until all are inserted, so that they don't evict each
	// other.
	for i := result.total - 1; i >= 0; i-- {
		m.cache.release(blocks[i])
	}
	return result
}
