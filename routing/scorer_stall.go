package routing

// silenceFactor is how many times the time expected for the prompts that an
// endpoint holds may go by without a word.
const silenceFactor = 3

// StallScorer finds endpoints that stand still, before any result can tell: one
// that has long held prompts without a first token will take as long again.
type StallScorer struct {
	// Allowed is the silence in seconds that means nothing, as progress is reported
	// from time to time only.
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
	silence := r.Now.Sub(c.Learned.heard.At).Seconds()
	expected := c.Learned.Speed().FirstToken.At(c.Estimate.Work - c.Estimate.OwnWork)
	if silence > s.TimeoutSeconds+silenceFactor*expected {
		c.Estimate.add(silence)
	}
}
