package answer

import (
	"sync"
	"time"
)

// ReaderTracker counts the readers of an answer and tells when there has been none
// for a grace time.
type ReaderTracker struct {
	mu    sync.Mutex
	count int
	grace func() time.Duration
	idle  func()
	timer *time.Timer
	// round tells a timer that was stopped too late from the one that counts.
	round uint64
}

// Watch calls idle, once, when there has been no reader for the grace time,
// counted from now on. The grace time is asked for whenever the last reader
// leaves. Watch replaces an earlier watch; a nil idle ends it.
func (a *ReaderTracker) OnIdle(grace func() time.Duration, idle func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stop()
	a.grace = grace
	a.idle = idle
	a.start()
}

// Enter counts a reader in.
func (a *ReaderTracker) Attach() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count++
	a.stop()
}

// Leave counts a reader out.
func (a *ReaderTracker) Detach() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count--
	a.start()
}

// Empty reports whether there is no reader.
func (a *ReaderTracker) Idle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.count == 0
}

func (a *ReaderTracker) start() {
	if a.count > 0 || a.idle == nil {
		return
	}
	round := a.round
	a.timer = time.AfterFunc(a.grace(), func() { a.expire(round) })
}

func (a *ReaderTracker) stop() {
	a.round++
	if a.timer != nil {
		a.timer.Stop()
		a.timer = nil
	}
}

func (a *ReaderTracker) expire(round uint64) {
	if idle := a.take(round); idle != nil {
		idle()
	}
}

func (a *ReaderTracker) take(round uint64) func() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if round != a.round {
		return nil
	}
	idle := a.idle
	a.idle = nil
	return idle
}
