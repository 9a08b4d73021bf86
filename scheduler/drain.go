package scheduler

import (
	"context"
	"time"

	"hawthornrill.example/hawthornrill/dispatch"
)

// drainPollInterval is how often Drain checks for work in progress.
const drainPollInterval = 50 * time.Millisecond

// Drain lets requests in progress finish and be delivered. New requests are refused:
// their claims are released and the caller receives not_run. It returns when no work
// is left, or with the cause of ctx's end.
func (s *Scheduler) Drain(ctx context.Context) error {
	s.draining.Store(true)
	ticker := time.NewTicker(drainPollInterval)
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

// Close stops the tasks in progress, ends each with the outcome that applies to its
// step, and waits for them.
func (s *Scheduler) Close() {
	s.mu.Lock()
	s.stop(dispatch.ErrStopped)
	s.mu.Unlock()
	s.work.Wait()
}

func (s *Scheduler) inProgress() int64 { return s.active.Load() + s.unsettled.Load() }
