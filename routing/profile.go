package routing

// Scales of differences that tell a slope from noise: prompt tokens, and requests
// in a batch.
const (
	workSpread  = 500
	batchSpread = 3
)

// expectedLeast is the least time in seconds that a sample is held against.
const expectedLeast = 5e-3

// Profile is a learned Speed.
type Profile struct {
	first, interval Estimator
	// speed is what the samples and the last prior give.
	speed Speed
}

// NewProfile returns a profile without samples.
func NewProfile(prior Speed) Profile { return Profile{speed: prior} }

// Speed returns what has been learned.
func (p *Profile) Speed() Speed { return p.speed }

// Samples returns the number of times to a first token learned from.
func (p *Profile) Samples() int { return p.first.samples }

// Learn takes a sample.
func (p *Profile) Learn(s Sample, rate float64, prior Speed) {
	if s.FirstToken > 0 {
		p.first.Add(s.Work, bounded(s.FirstToken, p.speed.FirstToken.At(s.Work)), rate)
	}
	if s.DecodeTokens > 0 {
		interval := s.DecodeSeconds / float64(s.DecodeTokens)
		p.interval.Add(s.Batch, bounded(interval, p.speed.Interval.At(s.Batch)), rate)
	}
	p.refresh(prior)
}

// bounded returns the seconds of a sample, bounded so that one outlier does not
// outweigh many samples.
func bounded(seconds, expected float64) float64 {
	return min(seconds, outlier*max(expected, expectedLeast))
}

// refresh works the speed out again from the samples and a prior.
func (p *Profile) refresh(prior Speed) {
	p.speed.FirstToken = p.first.Fit(prior.FirstToken, workSpread)
	p.speed.Interval = p.interval.Fit(prior.Interval, batchSpread)
}
