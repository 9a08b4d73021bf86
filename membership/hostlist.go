package membership

import (
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/hostlist"
)

const (
	// If more than maxMissingNumerator/maxMissingDenominator of the responsive
	// nodes are missing from a list, the list is taken to be wrong and absence
	// from it is ignored.
	maxMissingNumerator, maxMissingDenominator = 1, 3
)

// hostListState tracks since when hosts have been absent from the list.
type hostListState struct {
	// absentSince is when this node first saw each host both absent from the list
	// and unreachable.
	absentSince   map[domain.NodeID]time.Time
	lastEvaluated time.Time
}

// hostListDecision holds the actions that follow from a list.
type hostListDecision struct {
	// records are to be merged: new hosts, and members that are gone.
	records []record
	// leaving and serving are the members to notify of a changed state in the
	// list.
	leaving []domain.Member
	serving []domain.Member
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

// evaluate derives the actions from a list.
func (h *hostListState) evaluate(hosts []hostlist.Host, t *table, reachable map[domain.DataCentre]bool, self domain.NodeID, goneAfter time.Duration, now time.Time) hostListDecision {
	var decision hostListDecision
	listed := make(map[domain.NodeID]bool, len(hosts))
	known := knownDataCentres(t)
	for _, host := range hosts {
		listed[host.Node] = true
		decision.evaluateHost(host, t, known)
	}
	// Absence counts only while the list was read without a long gap: a pause or
	// an unavailable list resets it.
	if now.Sub(h.lastEvaluated) > goneAfter/2 {
		h.absentSince = nil
	}
	h.lastEvaluated = now
	if !isCredible(listed, t, reachable, self) {
		h.absentSince = nil
		return decision
	}
	h.evaluateAbsent(&decision, listed, t, reachable, goneAfter, now)
	return decision
}

// knownDataCentres returns the data centres of which at least one node has
// answered.
func knownDataCentres(t *table) map[domain.DataCentre]bool {
	known := make(map[domain.DataCentre]bool)
	for _, e := range t.entries {
		if e.Incarnation != 0 {
			known[e.DataCentre] = true
		}
	}
	return known
}

// evaluateHost derives the actions from one listed host. Hosts of another data
// centre are skipped once one of its nodes is known, as its own nodes evaluate
// them.
func (d *hostListDecision) evaluateHost(host hostlist.Host, t *table, known map[domain.DataCentre]bool) {
	e := t.entries[host.Node]
	if host.DataCentre != t.localDC && known[host.DataCentre] {
		return
	}
	switch {
	case e == nil:
		d.records = append(d.records, listedRecord(host, 0))
	case e.Incarnation == 0 && (e.gone() || e.Address != host.Address):
		d.records = append(d.records, listedRecord(host, e.Version+1))
	case e.Incarnation == 0 || e.status() > StatusLeaving:
	case host.State == hostlist.StateLeaving && e.Intent == intentServing:
		d.leaving = append(d.leaving, e.member())
	case host.State == hostlist.StateLive && e.Intent == intentListedLeaving:
		d.serving = append(d.serving, e.member())
	}
}

// isCredible reports whether absence from the list can be used. It can't if the
// list lacks this node itself, or too many of the responsive nodes.
func isCredible(listed map[domain.NodeID]bool, t *table, reachable map[domain.DataCentre]bool, self domain.NodeID) bool {
	responsive, missing := 0, 0
	for _, e := range t.entries {
		if t.statusOf(e.record, reachable) > StatusLeaving {
			continue
		}
		responsive++
		if !listed[e.Node] {
			missing++
		}
	}
	return listed[self] && missing*maxMissingDenominator <= responsive*maxMissingNumerator
}

// evaluateAbsent marks members as gone that have been both absent from the list
// and unreachable for goneAfter.
func (h *hostListState) evaluateAbsent(decision *hostListDecision, listed map[domain.NodeID]bool, t *table, reachable map[domain.DataCentre]bool, goneAfter time.Duration, now time.Time) {
	absent := make(map[domain.NodeID]time.Time)
	for _, node := range t.order {
		e := t.entries[node]
		if listed[node] || t.statusOf(e.record, reachable) != StatusUnreachable {
			continue
		}
		since, ok := h.absentSince[node]
		if !ok {
			since = now
		}
		absent[node] = since
		if now.Sub(since) >= goneAfter {
			r := e.record
			r.Health = healthGone
			decision.records = append(decision.records, r)
		}
	}
	h.absentSince = absent
}
