package membership

import (
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/hostlist"
)

const (
	// lackingShare and lackingOf: a list that lacks more than lackingShare of
	// lackingOf nodes that answer is wrong, and what it lacks means nothing.
	lackingShare, lackingOf = 1, 3
)

// listing remembers since when hosts have been off the list.
type listing struct {
	// absent holds the nodes that are both off the list and unreachable, and since
	// when this node has seen them so.
	absent map[domain.NodeID]time.Time
	// judged is when the list was last looked at.
	judged time.Time
}

// listVerdict is what follows from a list.
type listVerdict struct {
	// learn are records to merge: hosts that are new, lives that are gone.
	learn []record
	// leaving and staying are lives that must be told what the list says of them.
	leaving []domain.Member
	staying []domain.Member
}

// listedRecord returns the record of a host that has not answered yet.
func listedRecord(h hostlist.Host, version uint64) record {
	return record{
		Node:       h.Node,
		DataCentre: h.DataCentre,
		Address:    h.Address,
		Version:    version,
		Health:     healthUnreachable,
	}
}

// judge draws the conclusions from a list.
func (l *listing) judge(hosts []hostlist.Host, t *table, up map[domain.DataCentre]bool, self domain.NodeID, goneAfter time.Duration, now time.Time) listVerdict {
	var v listVerdict
	listed := make(map[domain.NodeID]bool, len(hosts))
	known := knownDataCentres(t)
	for _, host := range hosts {
		listed[host.Node] = true
		v.consider(host, t, known)
	}
	// What was not watched, while paused or without a list, does not count.
	if now.Sub(l.judged) > goneAfter/2 {
		l.absent = nil
	}
	l.judged = now
	if !credible(listed, t, up, self) {
		l.absent = nil
		return v
	}
	l.judgeAbsent(&v, listed, t, up, goneAfter, now)
	return v
}

// knownDataCentres returns the data centres of which a node has answered once.
func knownDataCentres(t *table) map[domain.DataCentre]bool {
	known := make(map[domain.DataCentre]bool)
	for _, e := range t.entries {
		if e.Incarnation != 0 {
			known[e.DataCentre] = true
		}
	}
	return known
}

// consider draws the conclusions from one listed host. Hosts of other data centres
// are their own nodes' business, once one of these is known.
func (v *listVerdict) consider(host hostlist.Host, t *table, known map[domain.DataCentre]bool) {
	e := t.entries[host.Node]
	if host.DataCentre != t.home && known[host.DataCentre] {
		return
	}
	switch {
	case e == nil:
		v.learn = append(v.learn, listedRecord(host, 0))
	case e.Incarnation == 0 && (e.gone() || e.Address != host.Address):
		v.learn = append(v.learn, listedRecord(host, e.Version+1))
	case e.Incarnation == 0 || e.status() > StatusLeaving:
	case host.State == hostlist.StateLeaving && e.Intent == intentServing:
		v.leaving = append(v.leaving, e.member())
	case host.State == hostlist.StateLive && e.Intent == intentListedLeaving:
		v.staying = append(v.staying, e.member())
	}
}

// credible reports whether it means anything that a list lacks a host. It does
// not if the list lacks this very node, or many that answer.
func credible(listed map[domain.NodeID]bool, t *table, up map[domain.DataCentre]bool, self domain.NodeID) bool {
	answering, lacking := 0, 0
	for _, e := range t.entries {
		if t.statusOf(e.record, up) > StatusLeaving {
			continue
		}
		answering++
		if !listed[e.Node] {
			lacking++
		}
	}
	return listed[self] && lacking*lackingOf <= answering*lackingShare
}

// judgeAbsent ends the lives that have been both off the list and unreachable for
// goneAfter.
func (l *listing) judgeAbsent(v *listVerdict, listed map[domain.NodeID]bool, t *table, up map[domain.DataCentre]bool, goneAfter time.Duration, now time.Time) {
	absent := make(map[domain.NodeID]time.Time)
	for _, node := range t.order {
		e := t.entries[node]
		if listed[node] || t.statusOf(e.record, up) != StatusUnreachable {
			continue
		}
		since, ok := l.absent[node]
		if !ok {
			since = now
		}
		absent[node] = since
		if now.Sub(since) >= goneAfter {
			r := e.record
			r.Health = healthGone
			v.learn = append(v.learn, r)
		}
	}
	l.absent = absent
}
