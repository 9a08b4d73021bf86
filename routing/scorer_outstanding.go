package routing

// OutstandingScorer estimates work and batch from the exact state kept by the owner: prompt tokens
// waiting for prefill and requests that decode concurrently.
type OutstandingScorer struct {
	// RequestOverheadTokens is the work attributed to each request in addition to its tokens.
	RequestOverheadTokens int
}

// Score implements Scorer.
func (s OutstandingScorer) Score(r *Request, candidates []Candidate) {
	for i := range candidates {
		s.score(r, &candidates[i])
	}
}

func (s OutstandingScorer) score(r *Request, c *Candidate) {
	e := &c.Estimate
	e.OwnWork = max(float64(r.Request.PromptTokens)-e.CachedTokens, 0)
	ahead := float64(c.State.PrefillTokens) * c.Learned.uncachedFraction()
	e.Work = ahead + e.OwnWork + float64(s.RequestOverheadTokens*c.State.Requests)
	e.Batch = meanBatch(c.State.Requests, c.State.AnswerTokens, r.Request.AnswerTokens)
}

// meanBatch returns the mean batch size while an answer of own tokens is generated, given the number
// of other requests and the sum of their remaining answer tokens.
func meanBatch(requests, answerTokens, own int) float64 {
	if requests == 0 {
		return 1
	}
	remaining := float64(answerTokens) / float64(requests)
	return 1 + float64(requests)*min(1, remaining/max(float64(own), 1))
}
