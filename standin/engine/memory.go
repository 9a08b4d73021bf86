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
