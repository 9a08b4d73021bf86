package ledger

import (
	"slices"
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// history answers, for one table, which member was the home of a key in the epochs that
// are still known, and whether both copies of a record can have been lost. It is
// immutable and computed once per table.
type history struct {
	table *Table
	// spans cover the epochs from the table's horizon to its own, in order.
	spans []span
	// losses are the departures with lost records.
	losses []Departure
	// settled are the settlements with at least two eligible members.
	settled []uint64
}

// span is a range of epochs, from begin up to but without end, with the same eligible
// members.
type span struct {
	begin, end uint64
	candidates []candidate
}

func newHistory(t *Table) *history {
	h := &history{table: t}
	begins := t.changeEpochs()
	for i, begin := range begins {
		end := t.Epoch + 1
		if i+1 < len(begins) {
			end = begins[i+1]
		}
		h.spans = append(h.spans, span{begin, end, t.candidatesAt(begin)})
	}
	for _, d := range t.Departed {
		if d.Lost {
			h.losses = append(h.losses, d)
		}
	}
	for _, s := range t.Settlements {
		if len(t.candidatesAt(s)) >= 2 {
			h.settled = append(h.settled, s)
		}
	}
	return h
}

// changeEpochs returns the horizon and the later epochs in which the eligible members
// changed, in ascending order. The result is never empty.
func (t *Table) changeEpochs() []uint64 {
	epochs := []uint64{t.Horizon}
	for _, m := range t.Members {
		epochs = append(epochs, m.Joined, m.Leaving)
	}
	for _, d := range t.Departed {
		epochs = append(epochs, d.TableMember.Joined, d.TableMember.Leaving, d.Removed)
	}
	slices.Sort(epochs)
	epochs = slices.Compact(epochs)
	return slices.DeleteFunc(epochs, func(e uint64) bool { return e < t.Horizon })
}

// candidatesAt returns the eligible members of an epoch not before the horizon.
func (t *Table) candidatesAt(epoch uint64) []candidate {
	var list []candidate
	add := func(m domain.Member) { list = append(list, candidate{m, hashNode(m.Node)}) }
	for _, m := range t.Members {
		if m.eligible(epoch) {
			add(m.Member)
		}
	}
	for _, d := range t.Departed {
		if d.eligible(epoch) {
			add(d.TableMember.Member)
		}
	}
	return list
}

// current returns the candidates of the table's own epoch.
func (h *history) current() []candidate { return h.spans[len(h.spans)-1].candidates }

// home returns the key's home in the table's own epoch.
func (h *history) home(key KeyHash) (domain.Member, bool) { return topRanked(h.current(), key) }

// homeSince reports whether the member was the key's home in every epoch from
// the given one up to the table's own.
func (h *history) homeSince(member domain.Member, key KeyHash, epoch uint64) bool {
	return h.homeDuring(member, key, epoch, h.table.Epoch+1)
}

// homeDuring reports whether the member was the key's home in every epoch in [from,
// before). It is false if that is no longer known.
func (h *history) homeDuring(member domain.Member, key KeyHash, from, before uint64) bool {
	if from < h.table.Horizon {
		return false
	}
	for _, s := range h.spans {
		if s.end <= from || s.begin >= before {
			continue
		}
		if home, ok := topRanked(s.candidates, key); !ok || !home.SameIncarnation(member) {
			return false
		}
	}
	return true
}

// onlyJoinsSince reports whether no member became ineligible after the epoch, so
// that no other member gained a key.
func (h *history) onlyJoinsSince(epoch uint64) bool {
	if epoch < h.table.Horizon {
		return false
	}
	if slices.ContainsFunc(h.table.Members, func(m TableMember) bool { return m.Leaving > epoch }) {
		return false
	}
	return !slices.ContainsFunc(h.table.Departed, func(d Departure) bool {
		return d.Removed > epoch && (d.TableMember.Leaving == 0 || d.TableMember.Leaving > epoch)
	})
}

// uncertain reports whether a record of the key can have lost both copies within the
// window, given the age of each loss. See docs/design/at-most-once.md.
func (h *history) uncertain(key KeyHash, window time.Duration, age func(Departure) time.Duration) bool {
	recent := func(d Departure) bool { return age(d) <= window }
	if !slices.ContainsFunc(h.losses, recent) {
		return false
	}
	return slices.ContainsFunc(h.spans, func(s span) bool {
		home, ok := topRanked(s.candidates, key)
		if !ok {
			return false
		}
		loss, lost := h.lossOf(home, s)
		return lost && h.copiesLost(s, loss, recent)
	})
}

// lossOf returns the departure with which a member of the span was lost, if any.
func (h *history) lossOf(member domain.Member, s span) (Departure, bool) {
	i := slices.IndexFunc(h.losses, func(d Departure) bool {
		return d.Removed >= s.end && d.TableMember.Member.SameIncarnation(member)
	})
	if i < 0 {
		return Departure{}, false
	}
	return h.losses[i], true
}

// copiesLost reports whether a record committed in the span can have been held by its
// lost home alone, or by it and another lost member only. It can't if the table was
// settled after the span and before the later of the losses, because then the home of
// that time and one more member also held the record.
func (h *history) copiesLost(s span, home Departure, recent func(Departure) bool) bool {
	if len(s.candidates) == 1 && recent(home) && !h.settledBetween(s.end, home.Removed) {
		return true
	}
	return slices.ContainsFunc(h.losses, func(other Departure) bool {
		if !other.eligible(s.begin) || other.TableMember.Member.SameIncarnation(home.TableMember.Member) {
			return false
		}
		later := home
		if other.Removed > home.Removed {
			later = other
		}
		return recent(later) && !h.settledBetween(s.end, later.Removed)
	})
}

// settledBetween reports whether an epoch in [from, before) was settled.
func (h *history) settledBetween(from, before uint64) bool {
	return slices.ContainsFunc(h.settled, func(s uint64) bool { return from <= s && s < before })
}
