package routing

import (
	"sort"
	"time"
)

// nilNode marks the ends of the linked list in a PrefixTable.
const nilNode = ^uint32(0)

// initialPrefixBlocks is the number of blocks for which the index of an empty PrefixTable is sized.
const initialPrefixBlocks = 64

// prefixNode is a block in the table, linked in LRU order.
type prefixNode struct {
	hash       uint64
	newer      uint32
	older      uint32
	dispatched uint32
}

// PrefixTable tracks the prompt blocks cached by an endpoint: a bounded LRU set. The first blocks of a
// prompt are marked as used after its later ones, so that a prefix is evicted from its end, as engines
// do. It is an open-addressing index over a linked list in one array and needs about 40 bytes per
// block. It is not safe for concurrent use.
type PrefixTable struct {
	bound int
	start time.Time
	nodes []prefixNode
	// index is a hash table whose length is a power of two and at least twice the number of blocks.
	index  []indexEntry
	free   []uint32
	newest uint32
	oldest uint32
	used   int
}

// NewPrefixTable returns an empty table for at most bound blocks. start must precede all times passed
// to its methods.
func NewPrefixTable(bound int, start time.Time) *PrefixTable {
	t := &PrefixTable{bound: max(bound, 1), start: start}
	t.Clear()
	return t
}

// Len returns the number of blocks.
func (t *PrefixTable) Len() int { return t.used }

// Clear removes all blocks.
func (t *PrefixTable) Clear() {
	t.nodes, t.free, t.used = nil, nil, 0
	t.index = make([]indexEntry, 2*initialPrefixBlocks)
	t.newest, t.oldest = nilNode, nilNode
}

// SetBound changes the maximum number of blocks and evicts the least recently used ones beyond it.
func (t *PrefixTable) SetBound(bound int) {
	t.bound = max(bound, 1)
	for t.used > t.bound {
		t.remove(t.nodes[t.oldest].hash)
	}
}

// Depth returns the number of leading blocks of a prompt that are in the table. It uses binary search,
// which assumes that prefixes are evicted from their end: a missing block may be overlooked if later
// ones are present. A correct guess makes it fastest; the depth at another endpoint is often one.
func (t *PrefixTable) Depth(blocks []uint64, guess int) int {
	if len(blocks) == 0 || t.used == 0 || !t.contains(blocks[0]) {
		return 0
	}
	low, high := 1, len(blocks)
	if guess >= low && guess < high {
		if t.contains(blocks[guess]) {
			low = guess + 1
		} else {
			high = guess
			if guess > low && t.contains(blocks[guess-1]) {
				low = guess
			}
		}
	}
	return low + sort.Search(high-low, func(i int) bool { return !t.contains(blocks[low+i]) })
}

// Dispatched adds the blocks of a prompt and marks them as used now.
func (t *PrefixTable) Dispatched(now time.Time, blocks []uint64) {
	seconds := t.seconds(now)
	if len(blocks) > t.bound {
		blocks = blocks[:t.bound]
	}
	for i := len(blocks) - 1; i >= 0; i-- {
		t.touch(blocks[i], seconds)
	}
}

// Stored adds a block that a cache event reported as stored. It does not count as used: a block
// already in the table keeps its LRU position.
func (t *PrefixTable) Stored(block uint64) {
	if !t.contains(block) {
		t.touch(block, 0)
	}
}

// Evicted removes a block that a cache event reported as evicted, unless it was dispatched within lag,
// in which case the event may be older than the dispatch.
func (t *PrefixTable) Evicted(now time.Time, block uint64, lag time.Duration) {
	node, ok := t.findNode(block)
	if !ok {
		return
	}
	dispatched := t.nodes[node].dispatched
	if dispatched > 0 && t.seconds(now)-dispatched < uint32(lag/time.Second) {
		return
	}
	t.remove(block)
}

// seconds returns the whole seconds since start, at least 1.
func (t *PrefixTable) seconds(now time.Time) uint32 {
	return uint32(now.Sub(t.start)/time.Second) + 1
}

// touch marks the block as most recently used, adding it if necessary.
func (t *PrefixTable) touch(hash uint64, seconds uint32) {
	node, ok := t.findNode(hash)
	if !ok {
		node = t.add(hash)
	} else {
		t.unlink(node)
	}
	t.nodes[node].dispatched = seconds
	t.linkNewest(node)
}

// add evicts a block if the table is full and returns an unlinked node for the new one.
func (t *PrefixTable) add(hash uint64) uint32 {
	if t.used >= t.bound {
		t.remove(t.nodes[t.oldest].hash)
	}
	node := t.newNode()
	t.nodes[node] = prefixNode{hash: hash}
	t.used++
	t.insert(node)
	if 2*t.used > len(t.index) {
		t.grow()
	}
	return node
}

func (t *PrefixTable) newNode() uint32 {
	if last := len(t.free) - 1; last >= 0 {
		node := t.free[last]
		t.free = t.free[:last]
		return node
	}
	t.nodes = append(t.nodes, prefixNode{})
	return uint32(len(t.nodes) - 1)
}

func (t *PrefixTable) remove(hash uint64) {
	slot, ok := t.findSlot(hash)
	if !ok {
		return
	}
	node := t.index[slot].node()
	t.unlink(node)
	t.free = append(t.free, node)
	t.used--
	t.deleteSlot(slot)
}
