package engine

import "hawthornrill.example/hawthornrill/prefix"

// memory accounts for the KV tokens: those in cached blocks, which sequences
// share, and those that belong to one sequence.
type memory struct {
	limit   int
	private int
	cache   *cache
}

func (m *memory) free() int { return m.limit - m.private - m.cache.len()*prefix.BlockTokens }

// pinned is the number of tokens that can't be evicted.
func (m *memory) pinned() int { return m.private + m.cache.used()*prefix.BlockTokens }

// reserve takes private tokens, evicting unused blocks as need be; it takes
// nothing and returns false if there is no room.
func (m *memory) reserve(tokens int) bool {
	if m.limit-m.pinned() < tokens {
		return false
	}
	for m.free() < tokens {
		m.cache.evict()
	}
	m.private += tokens
	return true
}

// heldBlocks tells how many blocks hold found or stored, and how many it stored.
type heldBlocks struct{ total, stored int }

// hold puts leading blocks into the cache, unused, as far as they fit.
func (m *memory) hold(blocks []uint64) heldBlocks {
	var held heldBlocks
	for _, hash := range blocks {
		if !m.cache.acquire(hash) {
			if !m.reserve(prefix.BlockTokens) {
				break
			}
			m.private -= prefix.BlockTokens
			m.cache.store(hash)
			held.stored++
		}
		held.total++
	}
	// In use until here, so that the blocks don't evict each other.
	for i := held.total - 1; i >= 0; i-- {
		m.cache.release(blocks[i])
	}
	return held
}
