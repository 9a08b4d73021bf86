package routing

import "time"

// StragglerScorer replaces the estimate of a straggler by that of its hardware generation multiplied
// by the straggler's ratio. When there has been no sample for a while, the straggler keeps its normal
// estimate for requests that would meet their deadline even there, so that one of them probes it.
type StragglerScorer struct {
	// Ratio is the minimum latency ratio of a straggler.
	Ratio float64
	// ProbeInterval is the time without a sample after which the endpoint is probed.
	ProbeInterval time.Duration
	PrefillWeight float64
}

// Score implements Scorer.
func (s StragglerScorer) Score(r *Request, candidates []Candidate) {
	for i := range candidates {
		s.score(r, &candidates[i])
	}
}

func (s StragglerScorer) score(r *Request, c *Candidate) {
	straggler := &c.Learned.straggler
	if !straggler.IsStraggler(s.Ratio) {
		return
	}
	slow := c.Estimate
	slow.predict(&c.Learned.generation.profile.speed, r.Request.AnswerTokens, s.PrefillWeight)
	slow.scale(straggler.Ratio())
	if straggler.ProbeDue(r.Now, s.ProbeInterval) && meetsDeadline(r, slow.Total) {
		return
	}
	if slow.Cost > c.Estimate.Cost {
		c.Estimate = slow
	}
}

func meetsDeadline(r *Request, seconds float64) bool {
	return r.Due.IsZero() || r.Due.Sub(r.Now).Seconds() >= seconds
}
