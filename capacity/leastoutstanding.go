package capacity

import "time"

// LeastOutstanding is the default Chooser: it takes the endpoint with the fewest
// outstanding requests relative to its limit, and makes no forecasts.
type LeastOutstanding struct{}

func NewLeastOutstanding() LeastOutstanding { return LeastOutstanding{} }

// Admit admits every request.
func (LeastOutstanding) Admit(time.Time, *Request) error { return nil }

// Choose returns the candidate with the smallest fraction of its limit in use.
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

// Forecast returns zero values, for unknown.
func (LeastOutstanding) Forecast(time.Time, *EndpointState, *Request) Forecast { return Forecast{} }

// Observe does nothing.
func (LeastOutstanding) Observe(time.Time, *EndpointState, *Request, Result) {}
