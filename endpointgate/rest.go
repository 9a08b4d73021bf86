package endpointgate

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/directory"
	"hawthornrill.example/hawthornrill/domain"
)

const (
	// rampTime is the time after a rest within which the requests sent to the endpoint grow from one to its slots. What waited
	// during the rest would otherwise arrive at once.
	rampTime = time.Second
	// jitterFraction is the largest part of a rest by which a node waits longer, up to maxJitter, so that the nodes don't all
	// return at once.
	jitterFraction = 0.2
	maxJitter      = 250 * time.Millisecond
	// restartListingTime is the time within which an endpoint that has restarted under its ID is listed.
	restartListingTime = 5 * time.Second
)

// rest is a period in which an endpoint wants no requests from this node, and the ramp after it.
type rest struct {
	// incarnation is the one that the rejected request was meant for.
	incarnation domain.EndpointID
	// asked is how long the endpoint asked for, from receivedAt on.
	asked      time.Duration
	receivedAt boottime.Instant
	endsAt     boottime.Instant
	// sent counts the requests granted after the rest.
	sent *atomic.Int64
}

func newRest(incarnation domain.EndpointID, now boottime.Instant, asked time.Duration) rest {
	jitter := min(time.Duration(jitterFraction*float64(asked)), maxJitter)
	return rest{
		incarnation: incarnation, asked: asked, receivedAt: now, endsAt: now.Add(asked + rand.N(jitter+1)), sent: new(atomic.Int64),
	}
}

// boundTo returns the rest as it binds the endpoint's incarnation. An endpoint that has restarted under its ID gets the requests
// meant for its predecessor until it is listed, so that the rest may be its own.
func (r rest) boundTo(e *directory.Endpoint) rest {
	if r.incarnation != e.Incarnation() {
		r.endsAt = min(r.endsAt, r.receivedAt.Add(restartListingTime))
	}
	return r
}

// over reports whether the rest and its ramp have ended.
func (r rest) over(now boottime.Instant) bool { return now.Sub(r.endsAt) >= rampTime }

// allows reports whether one more request may be sent to an endpoint with the given slots.
func (r rest) allows(now boottime.Instant, slots int) bool {
	since := now.Sub(r.endsAt)
	if since < 0 || r.over(now) {
		return since >= 0
	}
	return r.sent.Load() < 1+int64(float64(slots)*since.Seconds()/rampTime.Seconds())
}
