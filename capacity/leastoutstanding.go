package capacity

import "time"

// LeastOutstanding is the plain Chooser: it takes the endpoint with the least
// outstanding requests for its limit, and knows no speeds.
type LeastOutstanding struct{}

// NewLeastOutstanding returns the plain Chooser.
func NewLeastOutstanding() LeastOutstanding { return LeastOutstanding{} }

// Admit admits every ask.
func (LeastOutstanding) Admit(time.Time, *Request) error { return nil }

// Choose returns the candidate with the smallest part of its limit in use.
func (LeastOutstanding) Choose(_ time.Time, _ *QueuedRequest, candidates []*EndpointState) (int, bool) {
	best := 0
	for i, c := range candidates {
		if c.Requests*candidates[best].Limit < candidates[best].Requests*c.Limit {
			best = i
		}
	}
	return best, true
}

// Granted does nothing.
func (LeastOutstanding) Granted(time.Time, *EndpointState, *Request) {}

// Forecast knows nothing.
func (LeastOutstanding) Forecast(time.Time, *EndpointState, *Request) Forecast { return Forecast{} }

// Observe does nothing.
func (LeastOutstanding) Observe(time.Time, *EndpointState, *Request, Result) {}
