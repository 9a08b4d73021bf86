package virtual

import (
	"sync"

	"hawthornrill.example/hawthornrill/prefix"
)

// computedBlocks records the prompt blocks that any engine has computed and counts the
// tokens of blocks that were computed again.
type computedBlocks struct {
	mu       sync.Mutex
	seen     map[uint64]struct{}
	repeated uint64
}

func newComputedBlocks() *computedBlocks { return &computedBlocks{seen: make(map[uint64]struct{})} }

func (c *computedBlocks) add(block uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.seen[block]; ok {
		c.repeated += prefix.BlockTokens
		return
	}
	c.seen[block] = struct{}{}
}

func (c *computedBlocks) repeatedTokens() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.repeated
}
