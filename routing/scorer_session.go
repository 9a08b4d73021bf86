package routing

import "time"

// SessionScorer accounts for the answer of a session's last turn, which is also cached on its endpoint
// but not yet part of any known prompt block.
type SessionScorer struct {
	// TTL is the age at which a session's last turn is ignored.
	TTL time.Duration
}

// Score implements Scorer.
func (s SessionScorer) Score(r *Request, candidates []Candidate) {
	for i := range candidates {
		s.score(r, &candidates[i])
	}
}

func (s SessionScorer) score(r *Request, c *Candidate) {
	if r.Session.Endpoint != c.State.ID || r.Now.Sub(r.Session.PlacedAt) > s.TTL {
		return
	}
	tokens := float64(min(r.Session.Tokens, r.Request.PromptTokens)) * c.Learned.cacheTrust.Fraction()
	c.Estimate.CachedTokens = max(c.Estimate.CachedTokens, tokens)
}
