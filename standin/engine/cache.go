package engine

import "container/list"

// cache holds the prefix blocks in KV memory. Blocks in use by a sequence are
// pinned; the others are evicted in least recently used order.
type cache struct {
	blocks map[uint64]*block
	unused *list.List // of *block, least recently used first
	// onChange is called for each block that is stored or evicted.
	onChange func(hash uint64, stored bool)
}

type block struct {
	hash          uint64
	users         int
	unusedElement *list.Element // element of cache.unused, nil while in use
}

func newCache(onChange func(hash uint64, stored bool)) *cache {
	return &cache{blocks: make(map[uint64]*block), unused: list.New(), onChange: onChange}
}

// acquire adds a user to the block and reports whether the block is cached.
func (c *cache) acquire(hash uint64) bool {
	b, ok := c.blocks[hash]
	if !ok {
		return false
	}
	if b.unusedElement != nil {
		c.unused.Remove(b.unusedElement)
		b.unusedElement = nil
	}
	b.users++
	return true
}

// store adds a block that is not cached yet, with one user.
func (c *cache) store(hash uint64) {
	c.blocks[hash] = &block{hash: hash, users: 1}
	c.onChange(hash, true)
}

// release removes one user of the block.
func (c *cache) release(hash uint64) {
	b := c.blocks[hash]
	b.users--
	if b.users == 0 {
		b.unusedElement = c.unused.PushBack(b)
	}
}

// evict removes the least recently used block. It returns false if all blocks are
// in use.
func (c *cache) evict() bool {
	front := c.unused.Front()
	if front == nil {
		return false
	}
	b := c.unused.Remove(front).(*block)
	delete(c.blocks, b.hash)
	c.onChange(b.hash, false)
	return true
}

// len returns the number of cached blocks, used the number of those in use.
func (c *cache) len() int  { return len(c.blocks) }
func (c *cache) used() int { return len(c.blocks) - c.unused.Len() }

func (c *cache) has(hash uint64) bool {
	_, ok := c.blocks[hash]
	return ok
}
