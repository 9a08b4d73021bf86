package routing

// SuspectFilter keeps suspects apart: an endpoint runs one at a time. If it then
// crashes, the others that were suspected of the crash before are not blamed
// again, and have time to complete elsewhere.
type SuspectFilter struct{}

// Keep implements Filter.
func (SuspectFilter) Keep(r *Request, c *Candidate) bool {
	return !r.Suspect || c.Learned.suspects == 0
}
