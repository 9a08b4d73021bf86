package capacity

import (
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// holder is what an owner has recorded of one incarnation of a node for one pool.
type holder struct {
	member      domain.Member
	lastContact time.Time
	entries     map[requestID]*entry
	grants      map[requestID]*grant
	// The digests cover the keys of the two maps.
	entriesDigest digest
	grantsDigest  digest
}

func newHolder(member domain.Member) *holder {
	return &holder{
		member:  member,
		entries: make(map[requestID]*entry),
		grants:  make(map[requestID]*grant),
	}
}

func (h *holder) addEntry(e *entry) {
	h.entries[e.id] = e
	h.entriesDigest.add(e.id)
}

func (h *holder) removeEntry(e *entry) {
	delete(h.entries, e.id)
	h.entriesDigest.remove(e.id)
}

func (h *holder) addGrant(g *grant) {
	h.grants[g.id] = g
	h.grantsDigest.add(g.id)
}

func (h *holder) removeGrant(g *grant) {
	delete(h.grants, g.id)
	h.grantsDigest.remove(g.id)
}

// knows reports whether all the records are known as grants or queued requests.
func (h *holder) knows(records []record) bool {
	for i := range records {
		_, granted := h.grants[records[i].ID]
		_, waiting := h.entries[records[i].ID]
		if !granted && !waiting {
			return false
		}
	}
	return true
}
