package routing

// SuspectFilter limits each endpoint to one suspect request at a time. If the endpoint crashes again,
// other suspects of the earlier crash are not implicated, and can complete elsewhere.
type SuspectFilter struct{}

// Keep implements Filter.
func (SuspectFilter) Keep(r *Request, c *Candidate) bool {
	return !r.Suspect || c.Learned.suspectGrants == 0
}
