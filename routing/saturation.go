package routing

// saturatedFactor is how many times the interval of a batch of one the time
// between tokens must reach before the batch counts as too deep. Slow hardware
// is used so, although it never keeps to the aim.
const saturatedFactor = 2

// SaturationDetector tells from the learned speed whether an endpoint has as deep
// a batch as it should. The configured limits are the owner's matter.
type SaturationDetector struct {
	// TokenInterval is the aim for the time between tokens, seconds; negative for
	// none.
	TokenInterval float64
}

// Saturated reports whether one request more than these would be too many.
func (d SaturationDetector) Saturated(requests int, speed *Speed) bool {
	if d.TokenInterval < 0 || requests == 0 {
		return false
	}
	interval := speed.Interval.At(float64(requests + 1))
	return interval > d.TokenInterval && interval > saturatedFactor*speed.Interval.At(1)
}
