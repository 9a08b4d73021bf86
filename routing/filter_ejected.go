package routing

import "time"

// EjectedFilter drops endpoints that are out of service after a failure. When the ejection time has
// elapsed, it admits one probe request at a time, whose result decides.
type EjectedFilter struct {
	// ProbeTimeout is the time after which an unanswered probe may be followed by another.
	ProbeTimeout time.Duration
}

// Keep implements Filter.
func (f EjectedFilter) Keep(r *Request, c *Candidate) bool {
	switch c.Learned.ejector.Health(r.Now) {
	case HealthInService:
		return true
	case HealthProbation:
		return !c.Learned.ejector.ProbePending(r.Now, f.ProbeTimeout)
	default:
		return false
	}
}
