package routing

// PrefixScorer estimates how much of the prompt is in the endpoint's cache, from earlier dispatches
// and cache events.
type PrefixScorer struct{}

// Score implements Scorer.
func (s PrefixScorer) Score(r *Request, candidates []Candidate) {
	depth := 0
	for i := range candidates {
		c := &candidates[i]
		depth = c.Learned.prefixes.Depth(r.Request.Blocks, depth)
		c.Estimate.CachedTokens = float64(prefixTokens(r.Request, depth)) * c.Learned.cacheTrust.Fraction()
	}
}
