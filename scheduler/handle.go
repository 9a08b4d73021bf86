package scheduler

import (
	"context"
	"sync"

	"hawthornrill.example/hawthornrill/answer"
)

// Source supplies an answer to a reader.
type Source interface {
	// Read returns the data available from the position on and blocks while there is
	// none; it may return an empty batch after a while.
	Read(ctx context.Context, position answer.Position) (answer.Batch, error)
}

// Handle is one caller's reference to a request. Without any handle the request
// continues for DisconnectGrace.
type Handle struct {
	source Source
	detach func()
	close  sync.Once
}

func newHandle(buffer *answer.Buffer) *Handle {
	buffer.Readers.Attach()
	return &Handle{source: buffer, detach: buffer.Readers.Detach}
}

// Read returns the part of the answer available from the position on and blocks while
// there is none; it may return an empty batch after a while. It returns
// answer.ErrTruncated if the position is no longer held.
func (h *Handle) Read(ctx context.Context, position answer.Position) (answer.Batch, error) {
	return h.source.Read(ctx, position)
}

// Close ends the caller's reading. It must be called at least once; further calls
// have no effect.
func (h *Handle) Close() { h.close.Do(h.detach) }
