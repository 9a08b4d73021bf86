package routing

import "time"

// StragglerScorer replaces the estimate of an endpoint that has become slower than
// its hardware generation by the generation's time, as many times as long. When
// nothing has been heard for a while, an ask that would be on time in any case
// sees it as healthy, and so tries it again.
type StragglerScorer struct {
	// Ratio is the least that makes a straggler.
	Ratio float64
	// ProbeInterval is the time without a sample after which it is tried.
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
	slow.predict(&c.Learned.generation.profile.speed, r.Ask.AnswerTokens, s.PrefillWeight)
	slow.scale(straggler.Ratio())
	if straggler.ProbeDue(r.Now, s.ProbeInterval) && onTime(r, slow.Total) {
		return
	}
	if slow.Cost > c.Estimate.Cost {
		c.Estimate = slow
	}
}

func onTime(r *Request, seconds float64) bool {
	return r.Due.IsZero() || r.Due.Sub(r.Now).Seconds() >= seconds
}
