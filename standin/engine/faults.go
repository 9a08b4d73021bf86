package engine

import (
	"context"
	"fmt"
	"time"

	"hawthornrill.example/hawthornrill/endpoint"
)

// Faults are what is wrong with an engine, until they are set anew. The zero
// value is a sound engine.
type Faults struct {
	// Straggle makes every step so many times as long; 0 and 1 are the normal speed.
	Straggle float64 `json:"straggle"`
	// Pause stops everything, as if the process were stopped.
	Pause bool `json:"pause"`
	// Refuse refuses connections.
	Refuse bool `json:"refuse"`
	// Leaving is announced in load reports. The engine still takes requests, and
	// its runs show it.
	Leaving bool `json:"leaving"`
	// AnswerDelayMillis passes between the acceptance of a request (or of an order)
	// and the answer that says so.
	AnswerDelayMillis int `json:"answer_delay_ms"`
	// DropStartReplies runs so many of the next requests but breaks off in place of the
	// answer.
	DropStartReplies int `json:"lose_starts"`
	// DisconnectAfter breaks every reading of a stream after so many events; 0 for never.
	DisconnectAfter int `json:"cut_after"`
	// DuplicateEvery sends each n-th event twice, SwapEvery sends it after the one
	// that follows; 0 for never.
	DuplicateEvery int `json:"duplicate_every"`
	SwapEvery      int `json:"swap_every"`
	// Poison crashes the engine that computes a prompt with this text in it,
	// besides Options.Poison.
	Poison string `json:"poison"`
}

// Faults returns the faults in force.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// SetFaults replaces the faults in force.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	e.setPaused(f.Pause)
	for _, s := range e.streams {
		s.setFaults(f)
	}
	e.noteLoad()
	e.noteUp()
}

func (e *Engine) setPaused(paused bool) {
	switch {
	case paused && e.unpaused == nil:
		e.unpaused = make(chan struct{})
	case !paused && e.unpaused != nil:
		close(e.unpaused)
		e.unpaused = nil
	}
}

// DisconnectStreams breaks all connections that read a stream; the engine goes on.
func (e *Engine) DisconnectStreams() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.streams {
		s.cut()
	}
}

// enter is the way into the engine for every call: it waits while the engine is
// paused, and finds nobody while it is down or refuses connections.
func (e *Engine) enter(ctx context.Context) error {
	for {
		e.mu.Lock()
		unpaused, refuse := e.unpaused, e.refuses()
		e.mu.Unlock()
		if refuse {
			return fmt.Errorf("%w: connection refused", endpoint.ErrNotDispatched)
		}
		if unpaused == nil {
			return nil
		}
		select {
		case <-unpaused:
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", endpoint.ErrBroken, context.Cause(ctx))
		}
	}
}

// refuses reports whether nobody listens at the engine's address.
func (e *Engine) refuses() bool { return e.down || e.faults.Refuse }

// answerLate waits out the fault AnswerDelayMillis.
func (e *Engine) answerLate(ctx context.Context) error {
	delay := time.Duration(e.Faults().AnswerDelayMillis) * time.Millisecond
	if delay <= 0 {
		return nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", endpoint.ErrBroken, context.Cause(ctx))
	}
}

// loseStart takes one from the fault DropStartReplies.
func (e *Engine) loseStart() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.DropStartReplies <= 0 {
		return false
	}
	e.faults.DropStartReplies--
	return true
}
