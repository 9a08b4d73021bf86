package follow

import (
	"context"
	"sync/atomic"
	"time"

	"hawthornrill.example/hawthornrill/store"
)

// A configuration with two thousand routes takes some 700 KB, which an otherwise idle link of 10 Mbit/s transfers in 0.6 s.
// With a single timeout for the whole call, nodes on such links aborted each call during the response and started again, 14
// times in 20 s, while they served by an older configuration. The timeout therefore applies to the start of the response
// and to each pause in it.

const (
	// stallTimeout is the longest pause within a response: a lost packet is retransmitted in 0.2 to 0.6 s.
	stallTimeout = time.Second
	// maxResponseTime bounds a response that keeps arriving: the largest value (1 MB) over a twentieth of a 10 Mbit/s link.
	maxResponseTime = 15 * time.Second
)

// withStallTimeout returns a context for a call whose response must begin within the time begin and must then keep arriving.
// receiving is true from the start of the response to the end of the call.
func withStallTimeout(ctx context.Context, begin time.Duration, receiving *atomic.Bool) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, begin+maxResponseTime)
	timer := time.AfterFunc(begin, cancel)
	ctx = store.WithProgress(ctx, func() {
		receiving.Store(true)
		timer.Reset(stallTimeout)
	})
	return ctx, func() {
		timer.Stop()
		cancel()
		receiving.Store(false)
	}
}
