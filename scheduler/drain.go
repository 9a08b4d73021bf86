package scheduler

import (
	"context"
	"time"

	"hawthornrill.example/hawthornrill/dispatch"
)

// drainPoll is how often a drain looks whether all is done.
const drainPoll = 50 * time.Millisecond

// Drain lets everything in progress finish and be delivered, and gives up what
// is new: its claim is released and the caller told not_run. It returns when
// nothing is left, or ctx's error.
func (s *Scheduler) Drain(ctx context.Context) error {
	s.draining.Store(true)
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for s.inProgress() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	return nil
}

// Draining reports whether Drain was called.
func (s *Scheduler) Draining() bool { return s.draining.Load() }

// Close cuts whatever is still in progress, each with a truthful end, and waits
// for it.
func (s *Scheduler) Close() {
	s.mu.Lock()
	s.stop(dispatch.ErrStopped)
	s.mu.Unlock()
	s.work.Wait()
}

func (s *Scheduler) inProgress() int64 { return s.active.Load() + s.unsettled.Load() }
