package scheduler

import "hawthornrill.example/hawthornrill/domain"

// Lengths predicts how long answers will be.
type Lengths interface {
	// Predict returns the tokens to expect, from 1 to limit; a limit of 0 is none.
	Predict(organisation domain.OrganisationID, pool domain.PoolName, promptTokens, limit int) int
	// Observe tells the length of a complete answer that was predicted with the
	// limit.
	Observe(organisation domain.OrganisationID, pool domain.PoolName, promptTokens, limit, answerTokens int)
}

// LongestAnswers expects every answer to be as long as it may be.
type LongestAnswers struct{}

// Predict implements Lengths.
func (LongestAnswers) Predict(_ domain.OrganisationID, _ domain.PoolName, _, limit int) int {
	return limit
}

// Observe implements Lengths.
func (LongestAnswers) Observe(domain.OrganisationID, domain.PoolName, int, int, int) {}
