package routing

// SpeedScorer converts work and batch to times by the endpoint's learned speed.
type SpeedScorer struct {
	// PrefillWeight is the additional weight of the request's own prefill time in the cost.
	PrefillWeight float64
}

// Score implements Scorer.
func (s SpeedScorer) Score(r *Request, candidates []Candidate) {
	for i := range candidates {
		s.score(r, &candidates[i])
	}
}

func (s SpeedScorer) score(r *Request, c *Candidate) {
	c.Estimate.predict(c.Learned.Speed(), r.Request.AnswerTokens, s.PrefillWeight)
}
