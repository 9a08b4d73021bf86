package routing

import "math"

// priorLeft is the part of a prior line that each sample leaves.
const priorLeft = 0.8

// leastRidge is the part of the spread's square below which the amounts' variance
// tells no slope, however many samples there are.
const leastRidge = 0.01

// outlier bounds a sample to so many times what was expected.
const outlier = 8

// Estimator learns a Line from samples by exponentially weighted moments. The
// zero value has no samples. A prior line stands in for what the samples do not
// tell: all of it at first, and its slope as long as all amounts were alike.
type Estimator struct {
	samples      int
	x, y, xx, xy float64
}

// Add takes a sample: seconds for an amount. It moves the moments by rate, by
// more while there are few samples.
func (e *Estimator) Add(amount, seconds, rate float64) {
	e.samples++
	part := max(rate, 1/float64(e.samples))
	e.x += part * (amount - e.x)
	e.y += part * (seconds - e.y)
	e.xx += part * (amount*amount - e.xx)
	e.xy += part * (amount*seconds - e.xy)
}

// LinearModel returns the line through the samples and the prior. Spread is the scale of
// differences between amounts, for which the prior's slope is given up.
func (e *Estimator) Fit(prior LinearModel, spread float64) LinearModel {
	if e.samples == 0 {
		return prior
	}
	left := math.Pow(priorLeft, float64(e.samples))
	ridge := spread * spread * max(left, leastRidge)
	slope := (e.xy - e.x*e.y + ridge*prior.Slope) / (e.xx - e.x*e.x + ridge)
	slope = max(slope, 0)
	mean := (1-left)*e.y + left*prior.At(e.x)
	base := mean - slope*e.x
	if base < 0 {
		return LinearModel{Slope: mean / e.x}
	}
	return LinearModel{Base: base, Slope: slope}
}
