package routing

import "math"

// priorDecay is the factor by which each sample reduces the weight of the prior.
const priorDecay = 0.8

// minRidgeFraction is the lower bound of the ridge term, as a fraction of the squared spread. Amounts
// with a variance below it do not determine a slope, however many samples there are.
const minRidgeFraction = 0.01

// maxOutlierRatio caps a sample at this multiple of its expected value.
const maxOutlierRatio = 8

// Estimator fits a LinearModel to samples by exponentially weighted moments. The zero value has no
// samples. A prior supplies what the samples do not determine: the whole model at first, and the slope
// as long as all amounts are similar.
type Estimator struct {
	samples      int
	x, y, xx, xy float64
}

// Add records a sample: the seconds taken for an amount. The moments move by rate, or by more while
// there are few samples.
func (e *Estimator) Add(amount, seconds, rate float64) {
	e.samples++
	weight := max(rate, 1/float64(e.samples))
	e.x += weight * (amount - e.x)
	e.y += weight * (seconds - e.y)
	e.xx += weight * (amount*amount - e.xx)
	e.xy += weight * (amount*seconds - e.xy)
}

// Fit returns the model that combines the samples with the prior. spread is the scale of variation in
// the amounts above which the samples override the prior's slope.
func (e *Estimator) Fit(prior LinearModel, spread float64) LinearModel {
	if e.samples == 0 {
		return prior
	}
	priorWeight := math.Pow(priorDecay, float64(e.samples))
	ridge := spread * spread * max(priorWeight, minRidgeFraction)
	slope := (e.xy - e.x*e.y + ridge*prior.Slope) / (e.xx - e.x*e.x + ridge)
	slope = max(slope, 0)
	mean := (1-priorWeight)*e.y + priorWeight*prior.At(e.x)
	base := mean - slope*e.x
	if base < 0 {
		return LinearModel{Slope: mean / e.x}
	}
	return LinearModel{Base: base, Slope: slope}
}
