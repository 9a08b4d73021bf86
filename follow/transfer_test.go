package follow

import (
	"context"
	"io"
	"time"
)

// transfer is an answer over a slow link.
type transfer struct {
	ctx    context.Context
	pieces int
	every  time.Duration
}

// Read implements io.Reader.
func (t *transfer) Read(p []byte) (int, error) {
	if t.pieces--; t.pieces < 0 {
		return 0, io.EOF
	}
	select {
	case <-time.After(t.every):
		return 1, nil
	case <-t.ctx.Done():
		return 0, t.ctx.Err()
	}
}
