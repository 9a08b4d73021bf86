package follow

import (
	"context"
	"io"
	"time"
)

// slowResponse is a response that arrives over a slow link.
type slowResponse struct {
	ctx           context.Context
	chunks        int
	chunkInterval time.Duration
}

// Read implements io.Reader.
func (r *slowResponse) Read(p []byte) (int, error) {
	if r.chunks--; r.chunks < 0 {
		return 0, io.EOF
	}
	select {
	case <-time.After(r.chunkInterval):
		return 1, nil
	case <-r.ctx.Done():
		return 0, r.ctx.Err()
	}
}
