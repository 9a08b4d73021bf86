package routing

import (
	"math"
	"time"
)

const (
	// stragglerLearnRate is the weight of a sample in the moving average of the ratio,
	// stragglerProbeLearnRate that of a probe's sample.
	stragglerLearnRate      = 0.25
	stragglerProbeLearnRate = 0.5
	// maxSampleRatio caps the ratio of one sample; its reciprocal is the lower bound.
	maxSampleRatio = 8
	// minStragglerSamples is the minimum number of samples to classify an endpoint as a straggler.
	minStragglerSamples = 3
)

// StragglerDetector tracks the latency of an endpoint relative to its hardware generation as an
// exponentially weighted geometric mean. The zero value is healthy.
type StragglerDetector struct {
	logRatio float64
	// ratio is the exponential of logRatio once there is a sample.
	ratio   float64
	samples int
	// lastActivity is the time of the last sample or probe.
	lastActivity time.Time
}

// Observe records the ratio of a sample.
func (s *StragglerDetector) Observe(now time.Time, ratio float64, probe bool) {
	rate := stragglerLearnRate
	if probe {
		rate = stragglerProbeLearnRate
	}
	bounded := min(max(ratio, 1.0/maxSampleRatio), maxSampleRatio)
	s.logRatio += rate * (math.Log(bounded) - s.logRatio)
	s.ratio = math.Exp(s.logRatio)
	s.samples++
	s.lastActivity = now
}

// Ratio returns the mean ratio, 1 without samples.
func (s *StragglerDetector) Ratio() float64 {
	if s.samples == 0 {
		return 1
	}
	return s.ratio
}

// IsStraggler reports whether there are enough samples and their mean ratio is at least the given one.
func (s *StragglerDetector) IsStraggler(ratio float64) bool {
	return s.samples >= minStragglerSamples && s.ratio >= ratio
}

// ProbeDue reports whether there has been no sample or probe for the interval.
func (s *StragglerDetector) ProbeDue(now time.Time, every time.Duration) bool {
	return now.Sub(s.lastActivity) >= every
}

// MarkProbe records that a probe was sent.
func (s *StragglerDetector) MarkProbe(now time.Time) { s.lastActivity = now }
