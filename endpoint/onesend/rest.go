package onesend

import (
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/retryafter"
)

// ErrResting means that the host has asked for a rest that is not over. Nothing was sent.
var ErrResting = errors.New("onesend: host asked for a rest")

// RestingError is ErrResting with the time that is left of the rest.
type RestingError struct {
	Left time.Duration
}

// Error implements error.
func (e *RestingError) Error() string { return fmt.Sprintf("%v, %v left", ErrResting, e.Left) }

// Unwrap returns ErrResting.
func (e *RestingError) Unwrap() error { return ErrResting }

// Rest is a host's refusal of a request with a time for which it wants no more.
type Rest struct {
	// Host is "IP:port".
	Host string
	// Asked is the rest that the host asked for, Kept the one that is kept; zero if it could not be decoded.
	Asked, Kept time.Duration
	// Err describes malformed or repeated values, nil if there are none.
	Err error
}

// rests holds back requests to hosts that have asked for a rest. A nil value holds back none.
type rests struct {
	clock    boottime.Clock
	max      time.Duration
	statuses []int
	onRest   func(Rest)

	mu sync.Mutex
	// until holds the ends of the rests by host.
	until map[string]boottime.Instant
}

// newRests returns nil if rests are not kept.
func newRests(o Options) *rests {
	if o.MaxRest <= 0 {
		return nil
	}
	return &rests{clock: boottime.Now, max: o.MaxRest, statuses: o.RestStatuses, onRest: o.OnRest, until: make(map[string]boottime.Instant)}
}

// check returns a RestingError if the request must not be sent now. A DELETE may be: it ends work.
func (r *rests) check(request *http.Request) error {
	if r == nil || request.Method == http.MethodDelete {
		return nil
	}
	now := r.clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	if left := r.until[request.URL.Host].Sub(now); left > 0 {
		return &RestingError{Left: left}
	}
	return nil
}

// observe begins or extends a rest if the response asks for one.
func (r *rests) observe(host string, response *http.Response) {
	if r == nil || !slices.Contains(r.statuses, response.StatusCode) {
		return
	}
	asked, err := retryafter.Parse(response.Header.Values(retryafter.FieldName))
	if asked <= 0 && err == nil {
		return
	}
	kept := min(asked, r.max)
	r.extend(host, kept)
	if r.onRest != nil {
		r.onRest(Rest{Host: host, Asked: asked, Kept: kept, Err: err})
	}
}

// extend keeps the longer of the host's rests, and drops those of all hosts that are over.
func (r *rests) extend(host string, kept time.Duration) {
	now := r.clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.until, func(_ string, until boottime.Instant) bool { return until <= now })
	if until := now.Add(kept); until > now {
		r.until[host] = max(until, r.until[host])
	}
}

// LogRests returns an Options.OnRest that writes a line for each rest.
func LogRests(log zerolog.Logger) func(Rest) {
	return func(r Rest) {
		log.Warn().Err(r.Err).Str("host", r.Host).Dur("asked_ms", r.Asked).Dur("rest_ms", r.Kept).Msg("host asks for rest")
	}
}
