package follow

import (
	"context"
	"sync/atomic"
	"time"

	"hawthornrill.example/hawthornrill/store"
)

// An answer with a configuration of two thousand routes has some 700 KB, which a link of 10 Mbit/s carries in 0.6 s beside
// nothing else. With one bound on the whole call, nodes with such links gave each call up in the middle of the answer and
// began anew, 14 times in 20 s, and served by an older configuration meanwhile.

const (
	// pieceTimeout is the longest silence within an answer that has begun: a lost packet is sent again in 0.2 to 0.6 s.
	pieceTimeout = time.Second
	// answerMost bounds an answer that goes on coming: the largest value (1 MB) over a twentieth of a 10 Mbit/s link.
	answerMost = 15 * time.Second
)

// withSilenceTimeout returns a context for a call whose answer must begin within a time, and must then go on coming.
// Receiving is true from the answer's beginning until the call's end.
func withSilenceTimeout(ctx context.Context, begin time.Duration, receiving *atomic.Bool) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, begin+answerMost)
	silence := time.AfterFunc(begin, cancel)
	ctx = store.WithProgress(ctx, func() {
		receiving.Store(true)
		silence.Reset(pieceTimeout)
	})
	return ctx, func() {
		silence.Stop()
		cancel()
		receiving.Store(false)
	}
}
