package routing

import (
	"sort"
	"time"
)

// nilNode ends the list of a PrefixTable.
const nilNode = ^uint32(0)

// prefixGrowth is the first size of a PrefixTable.
const prefixGrowth = 64

// prefixNode is a block in the table, in a list by use.
type prefixNode struct {
	hash       uint64
	newer      uint32
	older      uint32
	dispatched uint32
}

// PrefixTable remembers which prompt blocks an endpoint holds: a set with a bound
// that forgets the block used least recently. A prompt's first blocks count as
// used after its later ones, so that a prefix is forgotten from its end, as
// engines evict. It is an open-addressing index over a list in one array, about 40
// bytes a block; one goroutine uses it at a time.
type PrefixTable struct {
	bound int
	start time.Time
	nodes []prefixNode
	// index is a hash table; its length is a power of two and at least twice the
	// number of blocks.
	index  []indexEntry
	free   []uint32
	newest uint32
	oldest uint32
	used   int
}

// NewPrefixTable returns an empty table for at most bound blocks. Start is an
// instant before all others.
func NewPrefixTable(bound int, start time.Time) *PrefixTable {
	t := &PrefixTable{bound: max(bound, 1), start: start}
	t.Clear()
	return t
}

// Len returns the number of blocks.
func (t *PrefixTable) Len() int { return t.used }

// Clear forgets all blocks.
func (t *PrefixTable) Clear() {
	t.nodes, t.free, t.used = nil, nil, 0
	t.index = make([]indexEntry, 2*prefixGrowth)
	t.newest, t.oldest = nilNode, nilNode
}

// SetBound changes the bound.
func (t *PrefixTable) SetBound(bound int) {
	t.bound = max(bound, 1)
	for t.used > t.bound {
		t.remove(t.nodes[t.oldest].hash)
	}
}

// Depth returns how many of a prompt's leading blocks are in the table, on the
// understanding that a prefix is evicted from its end: it may overlook a block
// missing before others that are there. It is quickest if the guess is right; the
// depth at another endpoint often is.
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

// Dispatched adds a prompt's blocks and marks them used now.
func (t *PrefixTable) Dispatched(now time.Time, blocks []uint64) {
	seconds := t.seconds(now)
	if len(blocks) > t.bound {
		blocks = blocks[:t.bound]
	}
	for i := len(blocks) - 1; i >= 0; i-- {
		t.use(blocks[i], seconds)
	}
}

// Stored adds a block of which an event said that it is held. It does not count as
// used: what is known already keeps its place.
func (t *PrefixTable) Stored(block uint64) {
	if !t.contains(block) {
		t.use(block, 0)
	}
}

// Evicted removes a block of which an event said that it is no longer held, unless
// it was dispatched within lag, as the event may be older than that.
func (t *PrefixTable) Evicted(now time.Time, block uint64, lag time.Duration) {
	node, ok := t.find(block)
	if !ok {
		return
	}
	dispatched := t.nodes[node].dispatched
	if dispatched > 0 && t.seconds(now)-dispatched < uint32(lag/time.Second) {
		return
	}
	t.remove(block)
}

// seconds returns the whole seconds since the start, at least 1.
func (t *PrefixTable) seconds(now time.Time) uint32 {
	return uint32(now.Sub(t.start)/time.Second) + 1
}

// use makes the block the newest, adding it if need be.
func (t *PrefixTable) use(hash uint64, seconds uint32) {
	node, ok := t.find(hash)
	if !ok {
		node = t.add(hash)
	} else {
		t.unlink(node)
	}
	t.nodes[node].dispatched = seconds
	t.linkNewest(node)
}

// add makes room and returns a node for the block, not yet linked.
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
	slot, ok := t.slot(hash)
	if !ok {
		return
	}
	node := t.index[slot].node()
	t.unlink(node)
	t.free = append(t.free, node)
	t.used--
	t.vacate(slot)
}
