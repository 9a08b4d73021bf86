package routing

// SaturationFilter drops endpoints that one more request would saturate.
type SaturationFilter struct {
	Detector SaturationDetector
}

// Keep implements Filter.
func (f SaturationFilter) Keep(_ *Request, c *Candidate) bool {
	return !f.Detector.Saturated(c.State.Requests, c.Learned.Speed())
}
