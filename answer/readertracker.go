package answer

import (
	"sync"
	"time"
)

// ReaderTracker counts the readers of an answer and reports when there have been none for a grace
// period.
type ReaderTracker struct {
	mu          sync.Mutex
	count       int
	gracePeriod func() time.Duration
	onIdle      func()
	timer       *time.Timer
	// generation identifies the current timer; a timer of an earlier one that fires while it is
	// being stopped is ignored.
	generation uint64
}

// OnIdle registers a callback that is called, once, when there have been no readers for the grace
// period, counted from now. gracePeriod is evaluated each time the last reader detaches. OnIdle
// replaces an earlier callback; a nil callback removes it.
func (r *ReaderTracker) OnIdle(gracePeriod func() time.Duration, onIdle func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopTimer()
	r.gracePeriod = gracePeriod
	r.onIdle = onIdle
	r.startTimer()
}

// Attach adds a reader.
func (r *ReaderTracker) Attach() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count++
	r.stopTimer()
}

// Detach removes a reader.
func (r *ReaderTracker) Detach() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count--
	r.startTimer()
}

// Idle reports whether there are no readers.
func (r *ReaderTracker) Idle() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count == 0
}

func (r *ReaderTracker) startTimer() {
	if r.count > 0 || r.onIdle == nil {
		return
	}
	generation := r.generation
	r.timer = time.AfterFunc(r.gracePeriod(), func() { r.timerFired(generation) })
}

func (r *ReaderTracker) stopTimer() {
	r.generation++
	if r.timer != nil {
		r.timer.Stop()
		r.timer = nil
	}
}

func (r *ReaderTracker) timerFired(generation uint64) {
	if onIdle := r.takeOnIdle(generation); onIdle != nil {
		onIdle()
	}
}

func (r *ReaderTracker) takeOnIdle(generation uint64) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if generation != r.generation {
		return nil
	}
	onIdle := r.onIdle
	r.onIdle = nil
	return onIdle
}
