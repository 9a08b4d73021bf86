package routing

import "time"

// flight is a grant held at an endpoint, as it was when it was placed.
type flight struct {
	fingerprint uint64
	placed      time.Time
	// work and batch are as estimated, prompt and cached in tokens.
	work   float64
	batch  float64
	prompt float64
	cached float64
	// probe is true if it tries a straggler or a failed endpoint.
	probe   bool
	suspect bool
}

// uncached returns the part of the prompt that was thought to need computing.
func (f *flight) uncached() float64 { return max(f.prompt-f.cached, 0) }
