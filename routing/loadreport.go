package routing

import "time"

// loadReport is an endpoint's own report. The zero value is older than any.
type loadReport struct {
	Requests int
	// At is when the reported load was the case.
	At time.Time
}

func (r *loadReport) age(now time.Time) time.Duration { return now.Sub(r.At) }
