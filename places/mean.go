package places

// minSampleWeight is the smallest weight of a sample: about the last 30 samples count.
const minSampleWeight = 1.0 / 30

// mean is an exponentially weighted mean. The first samples have equal weight, and the initial value counts as one of
// them, so that a node that has just started converges within a few requests instead of dozens.
type mean struct {
	value   float64
	samples int
}

func (m *mean) add(sample float64) {
	m.samples++
	weight := max(minSampleWeight, 1/float64(m.samples+1))
	m.value += weight * (sample - m.value)
}
