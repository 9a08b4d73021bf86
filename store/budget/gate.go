package budget

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// gate delays calls after an error, with exponential backoff and full jitter, so
// that 1,000 nodes that met the same outage don't all retry at the same moment. One
// call at a time is let through as a probe; when it succeeds, all others proceed.
type gate struct {
	min, max time.Duration

	mu           sync.Mutex
	failing      bool
	probing      bool
	backoffBound time.Duration
	nextProbe    time.Time
	// changed is closed and replaced when a probe ends.
	changed chan struct{}
}

func newGate(lowest, highest time.Duration) *gate {
	return &gate{min: lowest, max: highest, changed: make(chan struct{})}
}

// wait blocks until a call may be made or the context ends.
func (g *gate) wait(ctx context.Context) error {
	for {
		delay, changed := g.tryPass()
		if changed == nil {
			return nil
		}
		timer := time.NewTimer(delay)
		select {
		case <-timer.C:
		case <-changed:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
	}
}

// tryPass lets the call pass if changed is nil. Otherwise the caller tries again
// after delay, or when changed is closed.
func (g *gate) tryPass() (delay time.Duration, changed <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	switch {
	case !g.failing:
		return 0, nil
	case g.probing:
		return g.max, g.changed
	case now.Before(g.nextProbe):
		return g.nextProbe.Sub(now), g.changed
	}
	g.probing = true
	return 0, nil
}

// succeeded records a successful call, which ends the backoff.
func (g *gate) succeeded() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.failing {
		return
	}
	g.failing = false
	g.backoffBound = 0
	g.endProbe()
}

// failed records a failed call, which starts or lengthens the backoff.
func (g *gate) failed() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if g.failing && now.Before(g.nextProbe) {
		return // This call began before the outage was detected.
	}
	g.failing = true
	g.backoffBound = min(max(2*g.backoffBound, g.min), g.max)
	g.nextProbe = now.Add(rand.N(g.backoffBound))
	g.endProbe()
}

// inconclusive ends a probe that shows neither success nor failure, such as a watch
// cancelled by its caller.
func (g *gate) inconclusive() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.failing {
		g.endProbe()
	}
}

func (g *gate) endProbe() {
	g.probing = false
	close(g.changed)
	g.changed = make(chan struct{})
}
