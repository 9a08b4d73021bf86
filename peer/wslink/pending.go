package wslink

import (
	"fmt"
	"sync/atomic"

	"hawthornrill.example/hawthornrill/peer"
)

// progress of an outgoing message.
const (
	// progressQueued: not yet written.
	progressQueued int32 = iota
	// progressWritten: handed to the connection; the other end may have it.
	progressWritten
	// progressAbandoned: will never be written.
	progressAbandoned
)

// result is what a caller gets.
type result struct {
	payload []byte
	err     error
}

// pending is an outgoing message, for a call together with its waiting caller.
type pending struct {
	id       uint64
	progress atomic.Int32
	// done gets the reply; nil for messages without one.
	done chan result
}

// markWritten reports whether the message may be written now.
func (p *pending) markWritten() bool {
	return p.progress.CompareAndSwap(progressQueued, progressWritten)
}

// abandon gives the message up and says what is known of it: ErrNotSent, or
// ErrUnreachable if it has been written.
func (p *pending) abandon(reason error) error {
	if p.progress.CompareAndSwap(progressQueued, progressAbandoned) || p.progress.Load() == progressAbandoned {
		return fmt.Errorf("%w: %w", peer.ErrNotSent, reason)
	}
	return fmt.Errorf("%w: %w", peer.ErrUnreachable, reason)
}

// finish gives the caller its result. Only the first counts.
func (p *pending) finish(r result) {
	if p.done == nil {
		return
	}
	select {
	case p.done <- r:
	default:
	}
}
