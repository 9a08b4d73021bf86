package engine

import "container/list"

// cache holds the prefix blocks in KV memory. Blocks in use by a sequence stay;
// the others are evicted, the least recently used first.
type cache struct {
	blocks map[uint64]*block
	unused *list.List // of *block, the least recently used in front
	// changed is told of each block stored or evicted.
	changed func(hash uint64, stored bool)
}

type block struct {
	hash  uint64
	users int
	place *list.Element // in unused, nil while in use
}

func newCache(changed func(hash uint64, stored bool)) *cache {
	return &cache{blocks: make(map[uint64]*block), unused: list.New(), changed: changed}
}

// acquire takes the block into use if it is there.
func (c *cache) acquire(hash uint64) bool {
	b, ok := c.blocks[hash]
	if !ok {
		return false
	}
	if b.place != nil {
		c.unused.Remove(b.place)
		b.place = nil
	}
	b.users++
	return true
}

// store adds a block that is not there yet, in use once.
func (c *cache) store(hash uint64) {
	c.blocks[hash] = &block{hash: hash, users: 1}
	c.changed(hash, true)
}

// release ends one use.
func (c *cache) release(hash uint64) {
	b := c.blocks[hash]
	b.users--
	if b.users == 0 {
		b.place = c.unused.PushBack(b)
	}
}

// evict removes the least recently used block; false if all are in use.
func (c *cache) evict() bool {
	front := c.unused.Front()
	if front == nil {
		return false
	}
	b := c.unused.Remove(front).(*block)
	delete(c.blocks, b.hash)
	c.changed(b.hash, false)
	return true
}

// len is the number of blocks, used the number of those in use.
func (c *cache) len() int  { return len(c.blocks) }
func (c *cache) used() int { return len(c.blocks) - c.unused.Len() }

func (c *cache) has(hash uint64) bool {
	_, ok := c.blocks[hash]
	return ok
}
