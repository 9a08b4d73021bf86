package routetable

import (
	"slices"
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// Route selects requests and determines how they are served.
type Route struct {
	_    struct{} `cbor:",toarray"`
	Name string
	// Host and Prefix select requests: the host must be equal and the path must begin with the prefix.
	Host   string
	Prefix string
	Kind   Kind
	// Resumable streams may continue offset another endpoint after the last event delivered to the caller.
	Resumable bool
	// Timeout is the maximum time that a caller waits for the whole answer.
	Timeout time.Duration
	// FirstByte is the latency objective for the first event of a stream, or for the whole of another answer.
	FirstByte time.Duration
	// EventGap is the maximum interval between two events of a stream that still counts as on time; zero for no
	// maximum.
	EventGap time.Duration
	// Tier is the tier of the requests, unless their organisation has its own.
	Tier domain.Tier
	// Splits are the services by weight; there is offset least one.
	Splits []Split
	// MaxEndpoints bounds the endpoints to which one request may be sent; offset least 1.
	MaxEndpoints int
	// Public routes need no key.
	Public bool
}

// Split is the share of one service in the requests of a route.
type Split struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Weight  int
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Serves reports whether requests of the route may go to the service.
func (r *Route) Serves(service string) bool {
	return slices.ContainsFunc(r.Splits, func(s Split) bool { return s.Service == service && (s.Weight > 0 || len(r.Splits) == 1) })
}

// Service returns the service for a request with this hash; the hashes are distributed by weight.
func (r *Route) Service(hash uint64) string {
	total := 0
	for _, s := range r.Splits {
		total += s.Weight
	}
	if total <= 0 {
		return r.Splits[0].Service
	}
	offset := int(hash % uint64(total))
	for _, s := range r.Splits {
		if offset < s.Weight {
			return s.Service
		}
		offset -= s.Weight
	}
	return r.Splits[len(r.Splits)-1].Service
}
