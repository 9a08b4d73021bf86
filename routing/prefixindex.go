package routing

// indexEntry is a node's number plus one in the lower half, 0 if there is none, and
// the upper half of its block's hash, which tells most blocks apart without a look
// at the node.
type indexEntry uint64

const (
	nodeBits = 32
	nodeMask = 1<<nodeBits - 1
)

func entryOf(node uint32, hash uint64) indexEntry {
	return indexEntry(hash&^nodeMask | uint64(node+1))
}

func (e indexEntry) node() uint32 { return uint32(e&nodeMask) - 1 }

// tells reports whether the entry is of a block with the upper half of the hash.
func (e indexEntry) tells(hash uint64) bool { return (uint64(e)^hash)>>nodeBits == 0 }

// contains reports whether the block is in the table. One in 2^32 others is taken
// for it, which costs no more than a poor estimate.
func (t *PrefixTable) contains(hash uint64) bool {
	mask := uint64(len(t.index) - 1)
	for slot := hash & mask; ; slot = (slot + 1) & mask {
		entry := t.index[slot]
		if entry == 0 {
			return false
		}
		if entry.tells(hash) {
			return true
		}
	}
}

// find returns the block's node.
func (t *PrefixTable) find(hash uint64) (uint32, bool) {
	slot, ok := t.slot(hash)
	if !ok {
		return 0, false
	}
	return t.index[slot].node(), true
}

// slot returns the block's place in the index, or the empty one where it belongs.
func (t *PrefixTable) slot(hash uint64) (int, bool) {
	for slot := t.home(hash); ; slot = t.next(slot) {
		entry := t.index[slot]
		if entry == 0 {
			return slot, false
		}
		if entry.tells(hash) && t.nodes[entry.node()].hash == hash {
			return slot, true
		}
	}
}

// home returns where the search for a block begins. Blocks are hashes already.
func (t *PrefixTable) home(hash uint64) int { return int(hash & uint64(len(t.index)-1)) }

func (t *PrefixTable) next(slot int) int { return (slot + 1) & (len(t.index) - 1) }

func (t *PrefixTable) insert(node uint32) {
	hash := t.nodes[node].hash
	slot, _ := t.slot(hash)
	t.index[slot] = entryOf(node, hash)
}

// vacate empties a slot and moves later entries up, so that no search stops short.
func (t *PrefixTable) vacate(slot int) {
	for probe := t.next(slot); t.index[probe] != 0; probe = t.next(probe) {
		home := t.home(t.nodes[t.index[probe].node()].hash)
		if t.between(slot, home, probe) {
			continue
		}
		t.index[slot] = t.index[probe]
		slot = probe
	}
	t.index[slot] = 0
}

// between reports whether home lies after slot and not after probe, in the circle.
func (t *PrefixTable) between(slot, home, probe int) bool {
	if slot <= probe {
		return slot < home && home <= probe
	}
	return slot < home || home <= probe
}

// grow doubles the index.
func (t *PrefixTable) grow() {
	old := t.index
	t.index = make([]indexEntry, 2*len(old))
	for _, entry := range old {
		if entry != 0 {
			t.insert(entry.node())
		}
	}
}

func (t *PrefixTable) linkNewest(node uint32) {
	n := &t.nodes[node]
	n.newer, n.older = nilNode, t.newest
	if t.newest != nilNode {
		t.nodes[t.newest].newer = node
	} else {
		t.oldest = node
	}
	t.newest = node
}

func (t *PrefixTable) unlink(node uint32) {
	n := &t.nodes[node]
	if n.newer != nilNode {
		t.nodes[n.newer].older = n.older
	} else {
		t.newest = n.older
	}
	if n.older != nilNode {
		t.nodes[n.older].newer = n.newer
	} else {
		t.oldest = n.newer
	}
}
