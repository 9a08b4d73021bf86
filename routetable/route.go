package routetable

import (
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// Route says which requests it takes, and how they are served.
type Route struct {
	_    struct{} `cbor:",toarray"`
	Name string
	// Host and Prefix select requests: the host must be equal and the path must begin with the prefix.
	Host   string
	Prefix string
	Kind   Kind
	// Resumable streams may go on at another endpoint after the last event passed on.
	Resumable bool
	// Timeout is the longest time that a caller is kept waiting for the whole answer.
	Timeout time.Duration
	// FirstByte is the latency objective: the first event of a stream, or the whole of another answer.
	FirstByte time.Duration
	// EventGap is the longest pause between two events of a stream that is still on time; zero for none.
	EventGap time.Duration
	// Tier ranks the route's requests, unless their organisation has a tier of its own.
	Tier domain.Tier
	// Splits are the services by weight; there is at least one.
	Splits []Split
	// MaxEndpoints bounds the endpoints to which one request may be sent; at least 1.
	MaxEndpoints int
	// Public routes need no key.
	Public bool
}

// Split is one service's part of a route's requests.
type Split struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Weight  int
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Service returns the service that takes the request with this hash; the hashes are shared out by the weights.
func (r *Route) Service(hash uint64) string {
	total := 0
	for _, s := range r.Splits {
		total += s.Weight
	}
	if total <= 0 {
		return r.Splits[0].Service
	}
	at := int(hash % uint64(total))
	for _, s := range r.Splits {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return r.Splits[len(r.Splits)-1].Service
}
