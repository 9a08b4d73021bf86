package scheduler

import "hawthornrill.example/hawthornrill/domain"

// LengthPredictor predicts how long answers will be.
type LengthPredictor interface {
	// Predict returns the tokens to expect, from 1 to limit; a limit of 0 is none.
	Predict(organisation domain.OrganisationID, pool domain.PoolName, promptTokens, limit int) int
	// Observe tells the length of a complete answer that was predicted with the
	// limit.
	Observe(organisation domain.OrganisationID, pool domain.PoolName, promptTokens, limit, answerTokens int)
}

// MaxLengthPredictor expects every answer to be as long as it may be.
type MaxLengthPredictor struct{}

// Predict implements Lengths.
func (MaxLengthPredictor) Predict(_ domain.OrganisationID, _ domain.PoolName, _, limit int) int {
	return limit
}

// Observe implements Lengths.
func (MaxLengthPredictor) Observe(domain.OrganisationID, domain.PoolName, int, int, int) {}
