package routing

// CompletionPicker selects the candidate with the lowest cost. Ties within the margin are broken by
// rendezvous hashing on the request's affinity, so that similar requests share an endpoint and others
// are distributed.
type CompletionPicker struct {
	// TieMargin is a fraction of the lowest cost.
	TieMargin float64
}

// Pick implements Picker.
func (p CompletionPicker) Pick(r *Request, candidates []Candidate) int {
	lowest := candidates[0].Estimate.Cost
	for i := range candidates {
		lowest = min(lowest, candidates[i].Estimate.Cost)
	}
	best, score := -1, uint64(0)
	for i := range candidates {
		c := &candidates[i]
		if c.Estimate.Cost > lowest*(1+p.TieMargin) {
			continue
		}
		if s := mix(r.Affinity ^ c.Learned.hash); best < 0 || s > score {
			best, score = i, s
		}
	}
	return best
}

// mix scrambles the bits of a 64-bit number. It is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
