package poison

import (
	"maps"
	"slices"
	"time"
)

// verdicts is the set of identifications that a node holds, by their ids. It is immutable.
type verdicts map[uint64]verdict

// refuses returns the identification in force that refuses a prompt with the parts, false if there is none.
func (set verdicts) refuses(scope uint64, parts []uint64) (verdict, bool) {
	for _, v := range set {
		if v.scope == scope && v.inForce() && containsAll(parts, v.parts) {
			return v, true
		}
	}
	return verdict{}, false
}

// merge returns the set with the identification, and whether that changed it. The later statement on the same parts holds.
func (set verdicts) merge(now time.Time, v verdict) (verdicts, bool) {
	id := v.id()
	old, known := set[id]
	if v.expired(now) || known && !v.at.After(old.at) || !known && v.cleared {
		return set, false
	}
	if slices.ContainsFunc(slices.Collect(maps.Values(set)), func(o verdict) bool { return o.includes(v) }) {
		return set, false
	}
	next := maps.Clone(set)
	next[id] = v
	maps.DeleteFunc(next, func(_ uint64, o verdict) bool { return o.expired(now) || v.includes(o) })
	next.evict(maxVerdictsPerScope, func(o verdict) bool { return o.scope == v.scope })
	next.evict(maxVerdicts, func(verdict) bool { return true })
	_, kept := next[id]
	return next, kept
}

// evict removes the oldest of the matching identifications beyond the limit.
func (set verdicts) evict(limit int, matches func(verdict) bool) {
	var ids []uint64
	for id, v := range set {
		if matches(v) {
			ids = append(ids, id)
		}
	}
	if len(ids) <= limit {
		return
	}
	slices.SortFunc(ids, func(a, b uint64) int { return set[a].at.Compare(set[b].at) })
	for _, id := range ids[:len(ids)-limit] {
		delete(set, id)
	}
}

// digest is equal for sets with the same identifications in force, 0 for none.
func (set verdicts) digest() uint64 {
	var sum uint64
	for id, v := range set {
		if v.inForce() {
			sum += id
		}
	}
	return sum
}

// inForce returns the number of identifications in force.
func (set verdicts) inForce() int {
	n := 0
	for _, v := range set {
		if v.inForce() {
			n++
		}
	}
	return n
}
