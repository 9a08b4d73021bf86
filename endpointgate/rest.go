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
)

// rest is a period in which an endpoint wants no requests from this node, and the ramp after it.
type rest struct {
	// incarnation is the one that the rejected request was meant for, receivedMillis when its response arrived in Unix
	// milliseconds.
	incarnation    domain.EndpointID
	receivedMillis int64
	// asked is how long the endpoint asked for, from receivedAt on.
	asked      time.Duration
	receivedAt boottime.Instant
	endsAt     boottime.Instant
	// sent counts the requests granted after the rest.
	sent *atomic.Int64
}

func newRest(incarnation domain.EndpointID, now boottime.Instant, wall time.Time, asked time.Duration) rest {
	jitter := min(time.Duration(jitterFraction*float64(asked)), maxJitter)
	return rest{
		incarnation: incarnation, receivedMillis: wall.UnixMilli(),
		asked: asked, receivedAt: now, endsAt: now.Add(asked + rand.N(jitter+1)), sent: new(atomic.Int64),
	}
}

// binds reports whether the rest is one of this incarnation. An endpoint that has restarted under its ID gets the requests meant
// for its predecessor until it is listed, so one that was started before the response may have sent it.
func (r rest) binds(e *directory.Endpoint) bool {
	return r.incarnation == e.Incarnation() || e.Born != 0 && e.Born <= r.receivedMillis
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
