package load

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"hawthornrill.example/hawthornrill/domain"
)

// summary aggregates results by group.
type summary struct {
	runs  map[string]runCount
	total *Row
	calls *Row
	tiers map[domain.Tier]*Row
	orgs  map[domain.OrganisationID]*Row
	kinds map[string]*Row
	codes map[string]int
}

func newSummary(server *ServerRecord) *summary {
	return &summary{
		runs:  server.runsByKey(),
		total: newRow("total"),
		calls: newRow("plain calls"),
		tiers: make(map[domain.Tier]*Row),
		orgs:  make(map[domain.OrganisationID]*Row),
		kinds: make(map[string]*Row),
		codes: make(map[string]int),
	}
}

func newRow(group string) *Row { return &Row{Group: group, firstTokenHistogram: newHistogram()} }

func (s *summary) add(r *Result) {
	for i := range r.Attempts {
		if code := r.Attempts[i].Code; code != "" {
			s.codes[code]++
		}
	}
	ran := s.runs[r.Request.Key].runs > 0
	if !r.Request.IsModelRequest() {
		s.calls.add(r, ran)
		return
	}
	tier, org := r.Request.Tier, r.Request.Organisation
	if s.tiers[tier] == nil {
		s.tiers[tier] = newRow(fmt.Sprintf("tier %d", tier))
	}
	if s.orgs[org] == nil {
		s.orgs[org] = newRow(string(org))
	}
	kind := fmt.Sprintf("%s, tier %d", r.Request.Kind, tier)
	if s.kinds[kind] == nil {
		s.kinds[kind] = newRow(kind)
	}
	for _, row := range []*Row{s.total, s.tiers[tier], s.orgs[org], s.kinds[kind]} {
		row.add(r, ran)
	}
}

// rows returns the rows of the tiers and organisations in order, with the bound of each
// tier.
func (s *summary) rows(bound map[domain.Tier]int) (tiers, orgs []Row) {
	for _, tier := range slices.Sorted(maps.Keys(s.tiers)) {
		row := s.tiers[tier].finish()
		row.Bound = bound[tier]
		tiers = append(tiers, row)
	}
	return tiers, finishAll(s.orgs)
}

// finishAll returns the finished rows, sorted by key.
func finishAll[K cmp.Ordered](rows map[K]*Row) []Row {
	var finished []Row
	for _, name := range slices.Sorted(maps.Keys(rows)) {
		finished = append(finished, rows[name].finish())
	}
	return finished
}

func (r *Row) add(result *Result, ran bool) {
	// Requests whose caller is set to hang up are excluded even if the answer was
	// complete before.
	if result.Request.HangUpAfter > 0 {
		r.HungUp++
		return
	}
	r.Offered++
	if ran {
		r.Admitted++
	}
	if first := result.TimeToFirstToken(); first > 0 {
		_ = r.firstTokenHistogram.RecordValue(max(first.Microseconds(), minMicros))
	}
	switch result.Status() {
	case ResultOnTime:
		r.OnTime++
		if result.FirstTokenOnTime() {
			r.Prompt++
		}
	case ResultLate:
		r.Late++
	case ResultNotRun:
		r.NotRun++
	case ResultUnknown:
		r.Unknown++
	case ResultRan:
		r.Ran++
	default:
		r.Broken++
	}
}

func (r *Row) finish() Row {
	r.First = quantiles(r.firstTokenHistogram)
	return *r
}
