package routetable

import "hawthornrill.example/hawthornrill/domain"

// Organisation is a customer with its keys and its limit.
type Organisation struct {
	_    struct{} `cbor:",toarray"`
	ID   domain.OrganisationID
	Keys []string
	// Tier goes before the route's, if HasTier is set.
	Tier    domain.Tier
	HasTier bool
	// CountTokens says that Rate and Burst count tokens instead of requests; a request that names none counts as
	// PlainTokens.
	CountTokens bool
	PlainTokens float64
	// Rate is the limit a second and Burst what may be used on top at once, over all nodes; a Rate of 0 is none.
	Rate  float64
	Burst float64
}

// Cost returns what a request of so many tokens counts; zero tokens stand for a request that names none.
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
