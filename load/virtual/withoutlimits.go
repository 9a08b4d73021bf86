package virtual

import (
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/routing"
)

// withoutLimits predicts lengths without telling callers' limits apart, as the
// nodes did in an earlier round.
type withoutLimits struct{ all *routing.LengthPredictor }

// Predict implements scheduler.LengthPredictor.
func (w withoutLimits) Predict(organisation domain.OrganisationID, pool domain.PoolName, promptTokens, limit int) int {
	predicted := w.all.Predict(organisation, pool, promptTokens, 0)
	if limit > 0 {
		return min(predicted, limit)
	}
	return predicted
}

// Observe implements scheduler.LengthPredictor.
func (w withoutLimits) Observe(organisation domain.OrganisationID, pool domain.PoolName, promptTokens, _, answerTokens int) {
	w.all.Observe(organisation, pool, promptTokens, 0, answerTokens)
}
