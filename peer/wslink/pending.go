package wslink

import (
	"fmt"
	"sync/atomic"

	"hawthornrill.example/hawthornrill/peer"
)

// States of an outgoing message.
const (
	// progressQueued: the message has not been written yet.
	progressQueued int32 = iota
	// progressWritten: the message was passed to the connection; the remote end may
	// receive it.
	progressWritten
	// progressAbandoned: the message will not be written.
	progressAbandoned
)

// result is the outcome of a call.
type result struct {
	payload []byte
	err     error
}

// pending is the state of an outgoing message and, for a request, of the call that
// waits for its reply.
type pending struct {
	id       uint64
	progress atomic.Int32
	// done receives the reply; nil for one-way messages.
	done chan result
}

// markWritten marks the message as written. It returns false if the message was
// abandoned and must not be written.
func (p *pending) markWritten() bool {
	return p.progress.CompareAndSwap(progressQueued, progressWritten)
}

// abandon abandons the message and returns the error for the caller: ErrNotSent, or
// ErrUnreachable if the message has been written.
func (p *pending) abandon(reason error) error {
	if p.progress.CompareAndSwap(progressQueued, progressAbandoned) || p.progress.Load() == progressAbandoned {
		return fmt.Errorf("%w: %w", peer.ErrNotSent, reason)
	}
	return fmt.Errorf("%w: %w", peer.ErrUnreachable, reason)
}

// finish passes the result to the caller. Results after the first are dropped.
func (p *pending) finish(r result) {
	if p.done == nil {
		return
	}
	select {
	case p.done <- r:
	default:
	}
}
