package routing

import (
	"math"
	"time"
)

const (
	// stragglerRate is the part by which a sample moves the ratio, stragglerProbeRate
	// that of a sample taken to try a straggler.
	stragglerRate      = 0.25
	stragglerProbeRate = 0.5
	// stragglerBound bounds the ratio of one sample, up and down.
	stragglerBound = 8
	// stragglerSamples is the least number of samples that makes a straggler.
	stragglerSamples = 3
)

// StragglerDetector follows how many times as long an endpoint takes as its hardware
// generation: a geometric mean that forgets quickly. The zero value is healthy.
type StragglerDetector struct {
	log float64
	// ratio is the exponential of log, once there is a sample.
	ratio   float64
	samples int
	// touchedAt is when the last sample came or the last probe was sent.
	touchedAt time.Time
}

// Observe takes a sample's ratio.
func (s *StragglerDetector) Observe(now time.Time, ratio float64, probe bool) {
	rate := stragglerRate
	if probe {
		rate = stragglerProbeRate
	}
	bounded := min(max(ratio, 1.0/stragglerBound), stragglerBound)
	s.log += rate * (math.Log(bounded) - s.log)
	s.ratio = math.Exp(s.log)
	s.samples++
	s.touchedAt = now
}

// Ratio returns the mean ratio, 1 without samples.
func (s *StragglerDetector) Ratio() float64 {
	if s.samples == 0 {
		return 1
	}
	return s.ratio
}

// Slow reports whether the mean ratio is at least the given one.
func (s *StragglerDetector) IsStraggler(ratio float64) bool {
	return s.samples >= stragglerSamples && s.ratio >= ratio
}

// ProbeDue reports whether nothing has been learned for so long.
func (s *StragglerDetector) ProbeDue(now time.Time, every time.Duration) bool {
	return now.Sub(s.touchedAt) >= every
}

// Probe notes that a request was sent to try the endpoint.
func (s *StragglerDetector) MarkProbe(now time.Time) { s.touchedAt = now }
