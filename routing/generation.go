package routing

// generationSamples is the number of samples up to which a generation learns from
// stragglers too, as nothing is known yet of what is usual.
const generationSamples = 16

// Generation is the learned speed of a kind of hardware in the pool group: what is
// expected of an endpoint of which little is known, and what a straggler is held
// against.
type Generation struct {
	profile Profile
	prior   Speed
}

// NewGeneration returns a generation of which nothing but the prior is known.
func NewGeneration(prior Speed) *Generation {
	return &Generation{profile: NewProfile(prior), prior: prior}
}

// Speed returns the expected speed.
func (g *Generation) Speed() Speed { return g.profile.speed }

// Learn takes a sample of one of its endpoints. Samples of a straggler do not
// count, unless most of the generation is slow: then that is the usual speed.
func (g *Generation) Learn(s Sample, rate float64, straggler, mostSlow bool) {
	if straggler && !mostSlow && g.profile.Samples() >= generationSamples {
		return
	}
	g.profile.Learn(s, rate, g.prior)
}
