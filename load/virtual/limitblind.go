package virtual

import (
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/routing"
)

// limitBlindPredictor predicts answer lengths without distinguishing requests by their
// token limit, as the nodes did in an earlier round of experiments.
type limitBlindPredictor struct{ predictor *routing.LengthPredictor }

// Predict implements scheduler.LengthPredictor.
func (p limitBlindPredictor) Predict(organisation domain.OrganisationID, pool domain.PoolName, promptTokens, limit int) int {
	predicted := p.predictor.Predict(organisation, pool, promptTokens, 0)
	if limit > 0 {
		return min(predicted, limit)
	}
	return predicted
}

// Observe implements scheduler.LengthPredictor.
func (p limitBlindPredictor) Observe(organisation domain.OrganisationID, pool domain.PoolName, promptTokens, _, answerTokens int) {
	p.predictor.Observe(organisation, pool, promptTokens, 0, answerTokens)
}
