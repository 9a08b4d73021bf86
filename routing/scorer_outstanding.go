package routing

// OutstandingScorer counts the work at the endpoint exactly, as it was granted:
// prompt tokens that wait to be computed, and requests that decode meanwhile.
type OutstandingScorer struct {
	// RequestOverheadTokens is the work of a request beyond its tokens.
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
	e.OwnWork = max(float64(r.Ask.PromptTokens)-e.CachedTokens, 0)
	ahead := float64(c.State.PrefillTokens) * c.Learned.uncachedPart()
	e.Work = ahead + e.OwnWork + float64(s.RequestOverheadTokens*c.State.Requests)
	e.Batch = meanBatch(c.State.Requests, c.State.AnswerTokens, r.Ask.AnswerTokens)
}

// meanBatch returns the mean number of requests while an answer of so many tokens
// is produced beside requests that have answerTokens left in all.
func meanBatch(requests, answerTokens, own int) float64 {
	if requests == 0 {
		return 1
	}
	left := float64(answerTokens) / float64(requests)
	return 1 + float64(requests)*min(1, left/max(float64(own), 1))
}
