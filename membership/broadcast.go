package membership

import (
	"cmp"
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
	// pushed is true once a push has carried the change.
	pushed bool
}

// broadcasts is the queue of changes to disseminate. Each is transmitted a
// bounded number of times, the least often transmitted first. One of the
// transmissions is a push; a ping that happens to carry the change before it
// reaches one node only.
type broadcasts struct {
	pending []*broadcast
	// unsent counts the changes that have not been pushed yet.
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
		if !o.pushed {
			b.unsent--
		}
		return true
	})
}

// take returns up to limit changes to push, those that have not been pushed yet
// first, and counts them as sent. Changes that have reached the retransmission count
// for the number of nodes are dropped.
func (b *broadcasts) take(limit, nodes int) (records []record, contacts []reachability) {
	slices.SortStableFunc(b.pending, func(x, y *broadcast) int {
		return cmp.Or(x.pushRank()-y.pushRank(), x.sent-y.sent)
	})
	taken := b.pending[:min(limit, len(b.pending))]
	for _, o := range taken {
		if !o.pushed {
			o.pushed = true
			b.unsent--
		}
	}
	return b.send(taken, nodes)
}

// piggyback is take for a ping or its reply. It leaves the last transmission of a
// change to a push.
func (b *broadcasts) piggyback(limit, nodes int) (records []record, contacts []reachability) {
	slices.SortStableFunc(b.pending, func(x, y *broadcast) int { return x.sent - y.sent })
	var taken []*broadcast
	for _, o := range b.pending {
		if len(taken) < limit && (o.pushed || o.sent+1 < transmissions(nodes)) {
			taken = append(taken, o)
		}
	}
	return b.send(taken, nodes)
}

// send counts the changes as sent, drops those that have been sent often enough, and
// returns the changes. One that has not been pushed is kept, however often it has been
// sent: the number of nodes may have fallen since.
func (b *broadcasts) send(taken []*broadcast, nodes int) (records []record, contacts []reachability) {
	for _, o := range taken {
		o.sent++
		if o.record != nil {
			records = append(records, *o.record)
			continue
		}
		contacts = append(contacts, *o.reachability)
	}
	b.pending = slices.DeleteFunc(b.pending, func(o *broadcast) bool { return o.pushed && o.sent >= transmissions(nodes) })
	return records, contacts
}

// transmissions returns how often a node sends a change.
func transmissions(nodes int) int { return retransmitFactor * bits.Len(uint(nodes)) }

// pushRank sorts changes that have not been pushed before the others.
func (o *broadcast) pushRank() int {
	if o.pushed {
		return 1
	}
	return 0
}
