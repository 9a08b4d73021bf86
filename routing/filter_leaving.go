package routing

// LeavingFilter drops endpoints that are leaving or drained. The owner does not offer such endpoints;
// the filter is a second line of defence for the guarantee that they receive no new requests.
type LeavingFilter struct{}

// Keep implements Filter.
func (LeavingFilter) Keep(_ *Request, c *Candidate) bool {
	return !c.State.Leaving && !c.State.Row.Drain
}
