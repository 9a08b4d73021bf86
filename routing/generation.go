package routing

// minGenerationSamples is the number of samples below which a generation also learns from stragglers,
// since there is no baseline yet.
const minGenerationSamples = 16

// Generation is the learned speed of a hardware generation within the pool group. It is the prior for
// endpoints with few samples and the baseline for straggler detection.
type Generation struct {
	profile Profile
	prior   Speed
}

// NewGeneration returns a generation without samples.
func NewGeneration(prior Speed) *Generation {
	return &Generation{profile: NewProfile(prior), prior: prior}
}

// Speed returns the learned speed, or the prior while there are no samples.
func (g *Generation) Speed() Speed { return g.profile.speed }

// Learn adds a sample from one of the generation's endpoints. Samples from a straggler are ignored
// unless most of the generation is slow, in which case they represent its normal speed.
func (g *Generation) Learn(s Sample, rate float64, straggler, mostSlow bool) {
	if straggler && !mostSlow && g.profile.Samples() >= minGenerationSamples {
		return
	}
	g.profile.Learn(s, rate, g.prior)
}
