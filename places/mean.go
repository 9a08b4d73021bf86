package places

// meanWeight is the part by which each sample moves a mean; about the last thirty samples count.
const meanWeight = 1.0 / 30

// mean is an exponentially weighted mean.
type mean struct{ value float64 }

func (m *mean) add(sample float64) { m.value += meanWeight * (sample - m.value) }
