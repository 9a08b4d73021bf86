package scheduler

import (
	"context"
	"sync"

	"hawthornrill.example/hawthornrill/answer"
)

// Source is where an answer is read from.
type Source interface {
	// Read returns what there is from the position on and waits when there is
	// nothing; it may return an empty batch after a while.
	Read(ctx context.Context, position answer.Position) (answer.Batch, error)
}

// Handle is one caller's hold on a request. The request goes on without it for
// the grace time.
type Handle struct {
	source Source
	leave  func()
	close  sync.Once
}

func newHandle(buffer *answer.Buffer) *Handle {
	buffer.Audience.Enter()
	return &Handle{source: buffer, leave: buffer.Audience.Leave}
}

// Read returns what there is of the answer from the position on, and waits when
// there is nothing; it may return an empty batch after a while. It returns
// answer.ErrTruncated if the position is no longer held.
func (h *Handle) Read(ctx context.Context, position answer.Position) (answer.Batch, error) {
	return h.source.Read(ctx, position)
}

// Close says that the caller no longer reads. It must be called, once or more.
func (h *Handle) Close() { h.close.Do(h.leave) }
