package routetable

import "hawthornrill.example/hawthornrill/domain"

// Organisation is a customer with its API keys and its rate limit.
type Organisation struct {
	_    struct{} `cbor:",toarray"`
	ID   domain.OrganisationID
	Keys []string
	// Tier overrides the tier of the route if HasTier is set.
	Tier    domain.Tier
	HasTier bool
	// CountTokens makes Rate and Burst count tokens instead of requests; a request without a token count costs
	// PlainTokens.
	CountTokens bool
	PlainTokens float64
	// Rate is the limit per second and Burst the additional amount that may be used at once, over all nodes; a Rate of
	// 0 means no limit.
	Rate  float64
	Burst float64
}

// Cost returns the cost of a request with the given number of tokens; zero stands for a request without a token count.
func (o *Organisation) Cost(tokens int) float64 {
	switch {
	case !o.CountTokens:
		return 1
	case tokens <= 0:
		return o.PlainTokens
	default:
		return float64(tokens)
	}
}
