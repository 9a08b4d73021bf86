package routing

// Scales of variation above which samples determine a slope, in prompt tokens and in requests per
// batch.
const (
	workScale  = 500
	batchScale = 3
)

// minExpectedSeconds is the lower bound of the expected time from which the outlier cap is derived.
const minExpectedSeconds = 5e-3

// Profile is a Speed learned from samples.
type Profile struct {
	first, interval Estimator
	// speed is the fit to the samples and the last prior.
	speed Speed
}

// NewProfile returns a profile without samples.
func NewProfile(prior Speed) Profile { return Profile{speed: prior} }

// Speed returns the learned speed, or the prior while there are no samples.
func (p *Profile) Speed() Speed { return p.speed }

// Samples returns the number of first-token samples.
func (p *Profile) Samples() int { return p.first.samples }

// Learn adds a sample and updates the fit.
func (p *Profile) Learn(s Sample, rate float64, prior Speed) {
	if s.FirstToken > 0 {
		p.first.Add(s.Work, clampOutlier(s.FirstToken, p.speed.FirstToken.At(s.Work)), rate)
	}
	if s.DecodeTokens > 0 {
		interval := s.DecodeSeconds / float64(s.DecodeTokens)
		p.interval.Add(s.Batch, clampOutlier(interval, p.speed.Interval.At(s.Batch)), rate)
	}
	p.refit(prior)
}

// clampOutlier caps the seconds of a sample so that a single outlier does not outweigh many samples.
func clampOutlier(seconds, expected float64) float64 {
	return min(seconds, maxOutlierRatio*max(expected, minExpectedSeconds))
}

// refit recomputes the speed from the samples and the prior.
func (p *Profile) refit(prior Speed) {
	p.speed.FirstToken = p.first.Fit(prior.FirstToken, workScale)
	p.speed.Interval = p.interval.Fit(prior.Interval, batchScale)
}
