package routing

import "time"

// ReportScorer corrects the batch by the endpoint's own load report, which includes load that this
// owner has not granted. Since reports are stale, the excess is weighted and never counts for more
// than the known batch.
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
