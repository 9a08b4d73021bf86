package routing

// stallFactor is the multiple of the expected prefill time of the prompts held that may elapse without
// progress.
const stallFactor = 3

// StallScorer detects stalled endpoints before any result is available: an endpoint that has held
// prompts for long without a first token is assumed to need as long again.
type StallScorer struct {
	// TimeoutSeconds is the time without progress that is tolerated, since progress is reported only
	// periodically.
	TimeoutSeconds float64
}

// Score implements Scorer.
func (s StallScorer) Score(r *Request, candidates []Candidate) {
	for i := range candidates {
		s.score(r, &candidates[i])
	}
}

func (s StallScorer) score(r *Request, c *Candidate) {
	if c.State.PrefillTokens == 0 {
		return
	}
	stalled := r.Now.Sub(c.Learned.progress.lastAt).Seconds()
	expected := c.Learned.Speed().FirstToken.At(c.Estimate.Work - c.Estimate.OwnWork)
	if stalled > s.TimeoutSeconds+stallFactor*expected {
		c.Estimate.addDelay(stalled)
	}
}
