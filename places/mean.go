package places

// meanWeight is the least part by which a sample moves a mean; about the last thirty samples count.
const meanWeight = 1.0 / 30

// mean is an exponentially weighted mean. Until there are enough samples all count alike, and the value that it was made
// with counts as one of them: a node that has just started learns in a handful of requests, not in some dozens.
type mean struct {
	value   float64
	samples int
}

func (m *mean) add(sample float64) {
	m.samples++
	weight := max(meanWeight, 1/float64(m.samples+1))
	m.value += weight * (sample - m.value)
}
