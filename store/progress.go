package store

import (
	"context"
	"io"
)

// progressKey is the context key of the progress callback.
type progressKey struct{}

// WithProgress returns a context whose calls invoke onRead for each part of a response as it is read. This lets a caller
// time out a call that receives nothing, yet keep waiting for one whose response is long or whose link is slow.
func WithProgress(ctx context.Context, onRead func()) context.Context {
	return context.WithValue(ctx, progressKey{}, onRead)
}

// ProgressReader wraps a response body so that reads invoke the callback set by WithProgress. Without a callback it
// returns the body itself.
func ProgressReader(ctx context.Context, response io.Reader) io.Reader {
	onRead, ok := ctx.Value(progressKey{}).(func())
	if !ok {
		return response
	}
	return &progressReader{response, onRead}
}

type progressReader struct {
	io.Reader
	onRead func()
}

// Read implements io.Reader.
func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.onRead()
	}
	return n, err
}
