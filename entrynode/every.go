package entrynode

import (
	"context"
	"time"
)

// every does the work once each period until the context ends, and returns the context's error.
func every(ctx context.Context, period time.Duration, work func()) error {
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
