package endpointgate

import (
	"time"

	"hawthornrill.example/hawthornrill/directory"
	"hawthornrill.example/hawthornrill/domain"
)

// Bars implements places.Gate.
func (g *Gate) Bars(e *directory.Endpoint) bool { return e.Leaving || g.config.Limits.Bars(e) }

// Allows implements places.Gate.
func (g *Gate) Allows(e *directory.Endpoint) bool {
	if e.Leaving {
		return false
	}
	if r, ok := g.rest(e); ok && !r.allows(g.config.Clock(), e.Slots) {
		return false
	}
	return g.config.Limits.Allows(e)
}

// Take implements places.Gate.
func (g *Gate) Take(e *directory.Endpoint) (perSecond float64) {
	if r, ok := g.rest(e); ok {
		r.sent.Add(1)
	}
	return g.config.Limits.Take(e)
}

// Share implements places.Gate.
func (g *Gate) Share(e *directory.Endpoint) (share int, bound bool) {
	if g.config.Shares == nil {
		return 0, false
	}
	return g.config.Shares.Share(e)
}

// RestEndsIn implements places.Gate.
func (g *Gate) RestEndsIn(e *directory.Endpoint) time.Duration {
	r, ok := g.rest(e)
	if !ok {
		return 0
	}
	return max(r.endsAt.Sub(g.config.Clock()), 0)
}

// AnyRest implements places.Gate.
func (g *Gate) AnyRest() bool { return len(*g.rests.Load()) > 0 }

// rest returns what is known of the endpoint's rest, false if there is none.
func (g *Gate) rest(e *directory.Endpoint) (rest, bool) {
	rests := *g.rests.Load()
	if len(rests) == 0 {
		return rest{}, false
	}
	r, ok := rests[e.ID]
	if !ok {
		return rest{}, false
	}
	return r.boundTo(e), true
}

// Check returns why a request that was granted a place at the endpoint's incarnation must not be sent any more, nil if it may.
// Its error wraps ErrClosed.
func (g *Gate) Check(incarnation domain.EndpointID) error {
	e := g.config.Directory.Current().Endpoint(incarnation)
	switch {
	case e == nil:
		return ErrGone
	case e.Leaving:
		return ErrLeaving
	case g.RestEndsIn(e) > 0:
		return ErrResting
	}
	return nil
}
