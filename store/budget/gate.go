package budget

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// gate holds calls back after an error, with exponential backoff and full
// jitter: 1,000 nodes that met the same outage come back spread out. One call
// at a time tries; when it succeeds all others go on.
type gate struct {
	min, max time.Duration

	mu      sync.Mutex
	failing bool
	trying  bool
	bound   time.Duration
	next    time.Time
	// changed is closed and replaced when a try ends.
	changed chan struct{}
}

func newGate(lowest, highest time.Duration) *gate {
	return &gate{min: lowest, max: highest, changed: make(chan struct{})}
}

// enter waits until a call may be made, or for the context's end.
func (g *gate) enter(ctx context.Context) error {
	for {
		wait, changed := g.try()
		if changed == nil {
			return nil
		}
		timer := time.NewTimer(wait)
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

// try takes the turn to try, or tells how long to wait.
func (g *gate) try() (wait time.Duration, changed <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	switch {
	case !g.failing:
		return 0, nil
	case g.trying:
		return g.max, g.changed
	case now.Before(g.next):
		return g.next.Sub(now), g.changed
	}
	g.trying = true
	return 0, nil
}

// succeeded ends the backoff.
func (g *gate) succeeded() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.failing {
		return
	}
	g.failing = false
	g.bound = 0
	g.endTry()
}

// failed begins the backoff or makes it longer.
func (g *gate) failed() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if g.failing && now.Before(g.next) {
		return // A call that began before the outage was noticed.
	}
	g.failing = true
	g.bound = min(max(2*g.bound, g.min), g.max)
	g.next = now.Add(rand.N(g.bound))
	g.endTry()
}

// undecided gives the turn back after a call that tells nothing, such as a watch
// whose caller gave up.
func (g *gate) undecided() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.failing {
		g.endTry()
	}
}

func (g *gate) endTry() {
	g.trying = false
	close(g.changed)
	g.changed = make(chan struct{})
}
