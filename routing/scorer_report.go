package routing

import "time"

// ReportScorer corrects the batch a little by the endpoint's own report, which
// shows work that this owner has not granted. The report is stale, so it counts
// only in part, and never for more than the batch that is known.
type ReportScorer struct {
	MaxAge time.Duration
	Weight float64
}

// Score implements Scorer.
func (s ReportScorer) Score(r *Request, candidates []Candidate) {
	for i := range candidates {
		s.score(r, &candidates[i])
	}
}

func (s ReportScorer) score(r *Request, c *Candidate) {
	report := &c.Learned.report
	if report.Requests <= c.State.Requests || report.age(r.Now) > s.MaxAge {
		return
	}
	excess := float64(report.Requests - c.State.Requests)
	c.Estimate.Batch += s.Weight * min(excess, c.Estimate.Batch)
}
