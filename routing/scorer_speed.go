package routing

// SpeedScorer turns work and batch into times by the endpoint's learned speed.
type SpeedScorer struct {
	// PrefillWeight is how much the ask's own prefill counts besides.
	PrefillWeight float64
}

// Score implements Scorer.
func (s SpeedScorer) Score(r *Request, candidates []Candidate) {
	for i := range candidates {
		s.score(r, &candidates[i])
	}
}

func (s SpeedScorer) score(r *Request, c *Candidate) {
	c.Estimate.predict(c.Learned.Speed(), r.Ask.AnswerTokens, s.PrefillWeight)
}
