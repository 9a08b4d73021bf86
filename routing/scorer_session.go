package routing

import "time"

// SessionScorer knows that the endpoint of a session's last turn holds that
// turn's answer too, which no prompt block has named yet.
type SessionScorer struct {
	// TTL is the age at which a session's last turn is forgotten.
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
	tokens := float64(min(r.Session.Tokens, r.Ask.PromptTokens)) * c.Learned.trust.Fraction()
	c.Estimate.CachedTokens = max(c.Estimate.CachedTokens, tokens)
}
