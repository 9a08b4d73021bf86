package store

import (
	"context"
	"io"
)

// progressKey is the context's key of the function that is told of progress.
type progressKey struct{}

// WithProgress returns a context whose calls tell of each part of an answer as it arrives. A caller can so give up a call
// that is silent and wait for one whose answer is long or whose link is slow.
func WithProgress(ctx context.Context, arrived func()) context.Context {
	return context.WithValue(ctx, progressKey{}, arrived)
}

// ProgressReader returns a reader of an answer that tells the call's context of what arrives.
func ProgressReader(ctx context.Context, answer io.Reader) io.Reader {
	arrived, ok := ctx.Value(progressKey{}).(func())
	if !ok {
		return answer
	}
	return &progressReader{answer, arrived}
}

type progressReader struct {
	io.Reader
	arrived func()
}

// Read implements io.Reader.
func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.arrived()
	}
	return n, err
}
