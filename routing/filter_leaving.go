package routing

// LeavingFilter keeps endpoints that are neither leaving nor drained. The owner
// offers no others; the promise that nothing new goes to them is held here too.
type LeavingFilter struct{}

// Keep implements Filter.
func (LeavingFilter) Keep(_ *Request, c *Candidate) bool {
	return !c.State.Leaving && !c.State.Row.Drain
}
