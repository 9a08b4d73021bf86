package routing

// indexEntry holds a node number plus one in the lower half, or 0 if the slot is empty, and the upper
// half of the block's hash. The latter resolves most lookups without access to the node.
type indexEntry uint64

const (
	nodeBits = 32
	nodeMask = 1<<nodeBits - 1
)

func entryOf(node uint32, hash uint64) indexEntry {
	return indexEntry(hash&^nodeMask | uint64(node+1))
}

func (e indexEntry) node() uint32 { return uint32(e&nodeMask) - 1 }

// matches reports whether the entry's block has the same upper half of the hash.
func (e indexEntry) matches(hash uint64) bool { return (uint64(e)^hash)>>nodeBits == 0 }

// contains reports whether the block is in the table. It compares half of the hash only: the
// false-positive rate of one in 2^32 merely makes an estimate inaccurate.
func (t *PrefixTable) contains(hash uint64) bool {
	mask := uint64(len(t.index) - 1)
	for slot := hash & mask; ; slot = (slot + 1) & mask {
		entry := t.index[slot]
		if entry == 0 {
			return false
		}
		if entry.matches(hash) {
			return true
		}
	}
}

// findNode returns the node of the block.
func (t *PrefixTable) findNode(hash uint64) (uint32, bool) {
	slot, ok := t.findSlot(hash)
	if !ok {
		return 0, false
	}
	return t.index[slot].node(), true
}

// findSlot returns the index slot of the block, or the empty slot where it would be inserted.
func (t *PrefixTable) findSlot(hash uint64) (int, bool) {
	for slot := t.homeSlot(hash); ; slot = t.nextSlot(slot) {
		entry := t.index[slot]
		if entry == 0 {
			return slot, false
		}
		if entry.matches(hash) && t.nodes[entry.node()].hash == hash {
			return slot, true
		}
	}
}

// homeSlot returns the start of the probe sequence. Block IDs are already hashes.
func (t *PrefixTable) homeSlot(hash uint64) int { return int(hash & uint64(len(t.index)-1)) }

func (t *PrefixTable) nextSlot(slot int) int { return (slot + 1) & (len(t.index) - 1) }

func (t *PrefixTable) insert(node uint32) {
	hash := t.nodes[node].hash
	slot, _ := t.findSlot(hash)
	t.index[slot] = entryOf(node, hash)
}

// deleteSlot empties a slot and shifts later entries of the probe sequence back, so that lookups do
// not end early.
func (t *PrefixTable) deleteSlot(slot int) {
	for probe := t.nextSlot(slot); t.index[probe] != 0; probe = t.nextSlot(probe) {
		home := t.homeSlot(t.nodes[t.index[probe].node()].hash)
		if t.between(slot, home, probe) {
			continue
		}
		t.index[slot] = t.index[probe]
		slot = probe
	}
	t.index[slot] = 0
}

// between reports whether home lies in the circular interval (slot, probe].
func (t *PrefixTable) between(slot, home, probe int) bool {
	if slot <= probe {
		return slot < home && home <= probe
	}
	return slot < home || home <= probe
}

// grow doubles the size of the index.
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
