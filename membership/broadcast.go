package membership

import (
	"math/bits"
	"slices"
)

const (
	// retransmitFactor times the binary logarithm of the data centre's size is how
	// often a node passes a change on. What still misses a node is repaired by
	// comparing tables.
	retransmitFactor = 1
	// piggybackLimit is how many changes a ping or its answer carries.
	piggybackLimit = 8
	// pushLimit is how many changes a push carries.
	pushLimit = 64
)

// broadcast is a change that is being passed on: a record or a contact.
type broadcast struct {
	record  *record
	contact *contact
	sent    int
}

// broadcasts hold the changes that a node passes on, each a bounded number of
// times, the least often sent ones first.
type broadcasts struct {
	pending []*broadcast
	// fresh counts the changes that have not been sent at all.
	fresh int
}

// addRecord passes a record on, in place of an earlier one of the node.
func (b *broadcasts) addRecord(r record) {
	b.remove(func(o *broadcast) bool { return o.record != nil && o.record.Node == r.Node })
	b.pending = append(b.pending, &broadcast{record: &r})
	b.fresh++
}

// addContact passes a contact on, in place of an earlier one.
func (b *broadcasts) addContact(c contact) {
	b.remove(func(o *broadcast) bool { return o.contact != nil && o.contact.key() == c.key() })
	b.pending = append(b.pending, &broadcast{contact: &c})
	b.fresh++
}

func (b *broadcasts) remove(match func(*broadcast) bool) {
	b.pending = slices.DeleteFunc(b.pending, func(o *broadcast) bool {
		if !match(o) {
			return false
		}
		if o.sent == 0 {
			b.fresh--
		}
		return true
	})
}

// take returns up to limit changes to send, and counts them as sent. Those that
// have been sent often enough for the number of nodes are dropped.
func (b *broadcasts) take(limit, nodes int) (records []record, contacts []contact) {
	if len(b.pending) == 0 {
		return nil, nil
	}
	slices.SortStableFunc(b.pending, func(x, y *broadcast) int { return x.sent - y.sent })
	for _, o := range b.pending[:min(limit, len(b.pending))] {
		if o.sent == 0 {
			b.fresh--
		}
		o.sent++
		if o.record != nil {
			records = append(records, *o.record)
			continue
		}
		contacts = append(contacts, *o.contact)
	}
	enough := retransmitFactor * bits.Len(uint(nodes))
	b.pending = slices.DeleteFunc(b.pending, func(o *broadcast) bool { return o.sent >= enough })
	return records, contacts
}
