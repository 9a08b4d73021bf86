package membership

import (
	"math/bits"
	"slices"
)

const (
	// retransmitFactor times the binary logarithm of the data centre's size is
	// the number of times a node transmits a change. A change that still misses a
	// node is repaired by comparing tables.
	retransmitFactor = 1
	// piggybackLimit is the maximum number of changes in a ping or its reply.
	piggybackLimit = 8
	// pushLimit is the maximum number of changes in a push.
	pushLimit = 64
)

// broadcast is a pending change: either a record or a reachability report.
type broadcast struct {
	record       *record
	reachability *reachability
	sent         int
}

// broadcasts is the queue of changes to disseminate. Each is transmitted a
// bounded number of times, the least often transmitted first.
type broadcasts struct {
	pending []*broadcast
	// unsent counts the changes that have not been transmitted yet.
	unsent int
}

// addRecord queues a record and drops any queued record of the same node.
func (b *broadcasts) addRecord(r record) {
	b.remove(func(o *broadcast) bool { return o.record != nil && o.record.Node == r.Node })
	b.pending = append(b.pending, &broadcast{record: &r})
	b.unsent++
}

// addReachability queues a report and drops any queued one with the same key.
func (b *broadcasts) addReachability(c reachability) {
	b.remove(func(o *broadcast) bool { return o.reachability != nil && o.reachability.key() == c.key() })
	b.pending = append(b.pending, &broadcast{reachability: &c})
	b.unsent++
}

func (b *broadcasts) remove(match func(*broadcast) bool) {
	b.pending = slices.DeleteFunc(b.pending, func(o *broadcast) bool {
		if !match(o) {
			return false
		}
		if o.sent == 0 {
			b.unsent--
		}
		return true
	})
}

// take returns up to limit changes to send and counts them as sent. Changes that
// have reached the retransmission count for the number of nodes are dropped.
func (b *broadcasts) take(limit, nodes int) (records []record, contacts []reachability) {
	if len(b.pending) == 0 {
		return nil, nil
	}
	slices.SortStableFunc(b.pending, func(x, y *broadcast) int { return x.sent - y.sent })
	for _, o := range b.pending[:min(limit, len(b.pending))] {
		if o.sent == 0 {
			b.unsent--
		}
		o.sent++
		if o.record != nil {
			records = append(records, *o.record)
			continue
		}
		contacts = append(contacts, *o.reachability)
	}
	enough := retransmitFactor * bits.Len(uint(nodes))
	b.pending = slices.DeleteFunc(b.pending, func(o *broadcast) bool { return o.sent >= enough })
	return records, contacts
}
