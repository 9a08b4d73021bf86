package scheduler

import "hawthornrill.example/hawthornrill/domain"

// LengthPredictor predicts the lengths of answers.
type LengthPredictor interface {
	// Predict returns the expected number of answer tokens, from 1 to limit; a limit
	// of 0 means no limit.
	Predict(organisation domain.OrganisationID, pool domain.PoolName, promptTokens, limit int) int
	// Observe records the length of a complete answer that was predicted with the
	// limit.
	Observe(organisation domain.OrganisationID, pool domain.PoolName, promptTokens, limit, answerTokens int)
}

// MaxLengthPredictor predicts the maximum length that the request allows.
type MaxLengthPredictor struct{}

// Predict implements LengthPredictor.
func (MaxLengthPredictor) Predict(_ domain.OrganisationID, _ domain.PoolName, _, limit int) int {
	return limit
}

// Observe implements LengthPredictor.
func (MaxLengthPredictor) Observe(domain.OrganisationID, domain.PoolName, int, int, int) {}
