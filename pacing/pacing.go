// Package pacing provides delays and periodic execution that end with a context.
package pacing

import (
	"context"
	"time"
)

// Sleep waits for d or until the context ends, and reports whether the context is still active.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// Every calls work once per period until the context ends, and returns the context's error.
func Every(ctx context.Context, period time.Duration, work func()) error {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			work()
		}
	}
}
