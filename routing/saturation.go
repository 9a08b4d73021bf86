package routing

// saturationFactor is the multiple of the token interval of a batch of one that must also be exceeded
// for saturation. It lets slow hardware be used that never meets the target interval.
const saturationFactor = 2

// SaturationDetector detects from the learned speed when an endpoint's batch is deep enough.
// Configured limits are enforced by the owner.
type SaturationDetector struct {
	// TokenInterval is the target time between tokens in seconds; negative for none.
	TokenInterval float64
}

// Saturated reports whether one more request would exceed the target.
func (d SaturationDetector) Saturated(requests int, speed *Speed) bool {
	if d.TokenInterval < 0 || requests == 0 {
		return false
	}
	interval := speed.Interval.At(float64(requests + 1))
	return interval > d.TokenInterval && interval > saturationFactor*speed.Interval.At(1)
}
