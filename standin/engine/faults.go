package engine

import (
	"context"
	"fmt"
	"time"

	"hawthornrill.example/hawthornrill/endpoint"
)

// Faults are the injected faults, in force until they are replaced. The zero value
// means no faults.
type Faults struct {
	// Straggle multiplies the duration of every step; 0 and 1 mean normal speed.
	Straggle float64 `json:"straggle"`
	// Pause suspends all work and calls, as if the process were stopped.
	Pause bool `json:"pause"`
	// Refuse refuses connections.
	Refuse bool `json:"refuse"`
	// Leaving is announced in load reports. The engine still accepts requests; their
	// runs record that they arrived while it was leaving.
	Leaving bool `json:"leaving"`
	// AnswerDelayMillis delays the acknowledgement of an accepted request or order.
	AnswerDelayMillis int `json:"answer_delay_ms"`
	// DropStartReplies is the number of following requests that are run but whose
	// caller gets a broken connection in place of the reply.
	DropStartReplies int `json:"lose_starts"`
	// DisconnectAfter closes each connection that reads a stream after that many
	// events; 0 means never.
	DisconnectAfter int `json:"cut_after"`
	// DuplicateEvery sends each n-th event twice; SwapEvery swaps each n-th event
	// with the one that follows. 0 means never.
	DuplicateEvery int `json:"duplicate_every"`
	SwapEvery      int `json:"swap_every"`
	// Poison crashes the engine when it computes a prompt that contains this text,
	// in addition to Options.Poison.
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
	e.recordLoad()
	e.updateAvailability()
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

// DisconnectStreams closes all connections that read a stream. The requests keep
// running.
func (e *Engine) DisconnectStreams() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.streams {
		s.disconnect()
	}
}

// awaitReachable is called first by every call to the engine. It blocks while the
// engine is paused and fails while it is down or refuses connections.
func (e *Engine) awaitReachable(ctx context.Context) error {
	for {
		e.mu.Lock()
		unpaused, refused := e.unpaused, e.unreachable()
		e.mu.Unlock()
		if refused {
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

// unreachable reports whether connections to the engine are refused.
func (e *Engine) unreachable() bool { return e.down || e.faults.Refuse }

// delayReply waits for Faults.AnswerDelayMillis.
func (e *Engine) delayReply(ctx context.Context) error {
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

// dropStartReply reports whether to drop this reply, and decrements
// Faults.DropStartReplies if so.
func (e *Engine) dropStartReply() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.DropStartReplies <= 0 {
		return false
	}
	e.faults.DropStartReplies--
	return true
}
