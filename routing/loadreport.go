package routing

import "time"

// loadReport is the load reported by an endpoint. The zero value counts as expired.
type loadReport struct {
	Requests int
	// At is the time at which the load was measured.
	At time.Time
}

func (r *loadReport) age(now time.Time) time.Duration { return now.Sub(r.At) }
