package routing

// CompletionPicker takes the candidate with the least cost. Those within the
// margin of it are equal; the ask's affinity then chooses by rendezvous, so that
// asks alike meet and others spread.
type CompletionPicker struct {
	// TieMargin is a part of the least cost.
	TieMargin float64
}

// Pick implements Picker.
func (p CompletionPicker) Pick(r *Request, candidates []Candidate) int {
	least := candidates[0].Estimate.Cost
	for i := range candidates {
		least = min(least, candidates[i].Estimate.Cost)
	}
	best, score := -1, uint64(0)
	for i := range candidates {
		c := &candidates[i]
		if c.Estimate.Cost > least*(1+p.TieMargin) {
			continue
		}
		if s := mix(r.Affinity ^ c.Learned.hash); best < 0 || s > score {
			best, score = i, s
		}
	}
	return best
}

// mix spreads the bits of a 64-bit number (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
