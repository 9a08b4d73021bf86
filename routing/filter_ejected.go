package routing

import "time"

// EjectedFilter drops endpoints that failed. After its time out of service an
// endpoint is kept for a single request, whose end decides.
type EjectedFilter struct {
	// ProbeTimeout is how long a single request may be out before another is tried.
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
