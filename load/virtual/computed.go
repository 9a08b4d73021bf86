package virtual

import (
	"sync"

	"hawthornrill.example/hawthornrill/prefix"
)

// computed remembers the prompt blocks that any engine computed.
type computed struct {
	mu       sync.Mutex
	seen     map[uint64]struct{}
	repeated uint64
}

func newComputed() *computed { return &computed{seen: make(map[uint64]struct{})} }

func (c *computed) note(block uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.seen[block]; ok {
		c.repeated += prefix.BlockTokens
		return
	}
	c.seen[block] = struct{}{}
}

func (c *computed) repeatedTokens() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.repeated
}
