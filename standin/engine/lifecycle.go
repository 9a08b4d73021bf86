package engine

import (
	"time"
)

// Crash ends everything at once, as a dying process does: streams, waiting
// requests, KV cache, orders obeyed. The engine refuses connections until it has
// restarted.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

func (e *Engine) crash() {
	if e.down {
		return
	}
	e.life++
	close(e.lifeEnd)
	e.down = true
	e.busy = false
	e.counts.Crashes++
	for _, s := range append(e.batch, e.waiting...) {
		e.counts.Crashed++
		e.abandon(s, RunCrashed, errCrashed)
	}
	for _, s := range e.streams {
		s.cut()
	}
	e.batch, e.waiting, e.ended = nil, nil, nil
	clear(e.streams)
	e.noteUp()
	if e.options.RestartDelay >= 0 {
		time.AfterFunc(e.options.RestartDelay, e.restart)
	}
}

// Close ends the engine as a crash does, for good. Tests under testing/synctest
// need it, since the engine's goroutine must not outlive them.
func (e *Engine) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	e.crash()
}

// restart brings a crashed engine back as it was when new.
func (e *Engine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return
	}
	e.down = false
	e.lifeEnd = make(chan struct{})
	e.memory = e.emptyMemory()
	e.events.restart(e.life)
	e.models = newModels(e.options.Models)
	e.history = history{lag: e.options.LoadLag}
	e.noteLoad()
	e.noteUp()
}

// noteUp tells the owner of the listener whether there should be one.
func (e *Engine) noteUp() {
	up := !e.refuses()
	if up == e.up {
		return
	}
	e.up = up
	if e.options.OnUp != nil {
		e.options.OnUp(up)
	}
}

// sleep returns false if the life ended first.
func sleep(d time.Duration, end <-chan struct{}) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-end:
		return false
	}
}
