package engine

import (
	"time"
)

// Crash simulates a process crash: streams, queued requests, the KV cache and the
// effects of orders are lost. The engine refuses connections until it has
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
	e.incarnation++
	close(e.incarnationEnd)
	e.down = true
	e.loopRunning = false
	e.counts.Crashes++
	for _, s := range append(e.batch, e.waiting...) {
		e.counts.Crashed++
		e.abandon(s, RunCrashed, errCrashed)
	}
	for _, s := range e.streams {
		s.disconnect()
	}
	e.batch, e.waiting, e.endedStreams = nil, nil, nil
	clear(e.streams)
	e.updateAvailability()
	if e.options.RestartDelay >= 0 {
		time.AfterFunc(e.options.RestartDelay, e.restart)
	}
}

// Close crashes the engine without a restart. Tests under testing/synctest must
// call it, since the engine's goroutine must not outlive them.
func (e *Engine) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	e.crash()
}

// restart starts a crashed engine with empty memory and the configured models.
// Faults, counts and logs are kept.
func (e *Engine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return
	}
	e.down = false
	e.incarnationEnd = make(chan struct{})
	e.memory = e.newMemory()
	e.events.restart(e.incarnation)
	e.models = newModels(e.options.Models)
	e.loadHistory = loadHistory{lag: e.options.LoadLag}
	e.recordLoad()
	e.updateAvailability()
}

// updateAvailability calls Options.OnAvailabilityChange if the engine has become
// reachable or unreachable.
func (e *Engine) updateAvailability() {
	available := !e.unreachable()
	if available == e.reportedAvailable {
		return
	}
	e.reportedAvailable = available
	if e.options.OnAvailabilityChange != nil {
		e.options.OnAvailabilityChange(available)
	}
}

// sleep waits for d. It returns false if end is closed first.
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
