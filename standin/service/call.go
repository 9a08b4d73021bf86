package service

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"hawthornrill.example/hawthornrill/endpoint"
)

var _ endpoint.Service = (*Service)(nil)

// Call implements endpoint.Service in process, without a network between. The
// answer's body streams.
func (s *Service) Call(ctx context.Context, call endpoint.ServiceRequest) (endpoint.ServiceResponse, error) {
	if !s.isUp() {
		return endpoint.ServiceResponse{}, fmt.Errorf("%w: connection refused", endpoint.ErrNotDispatched)
	}
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://service"+call.Path, call.Body)
	if err != nil {
		return endpoint.ServiceResponse{}, fmt.Errorf("%w: %w", endpoint.ErrNotDispatched, err)
	}
	request.ContentLength = call.Length
	request.Header = call.Header.Clone()
	if request.Header == nil {
		request.Header = make(http.Header)
	}
	request.Header.Set(headerRequestKey, call.Key)
	w := newPipeWriter()
	go s.run(w, request)
	select {
	case <-w.headed:
		return w.response()
	case <-ctx.Done():
		_ = w.reader.Close()
		return endpoint.ServiceResponse{}, fmt.Errorf("%w: %w", endpoint.ErrBroken, context.Cause(ctx))
	}
}

func (s *Service) isUp() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.up
}

// run lets the router answer through the pipe. A handler that breaks off breaks
// the pipe.
func (s *Service) run(w *pipeWriter, request *http.Request) {
	defer func() {
		if r := recover(); r != nil {
			if r != any(http.ErrAbortHandler) {
				panic(r)
			}
			w.finish(errGone)
		}
	}()
	s.router.ServeHTTP(w, request)
	w.finish(nil)
}

// pipeWriter is a http.ResponseWriter whose body is read by a caller in the same
// process.
type pipeWriter struct {
	header http.Header
	status int
	sent   http.Header
	err    error
	// headed is closed when status, sent and err are there to be read.
	headed chan struct{}
	reader *io.PipeReader
	writer *io.PipeWriter
}

func newPipeWriter() *pipeWriter {
	w := &pipeWriter{header: make(http.Header), headed: make(chan struct{})}
	w.reader, w.writer = io.Pipe()
	return w
}

// Header implements http.ResponseWriter.
func (w *pipeWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *pipeWriter) WriteHeader(status int) {
	if w.status != 0 {
		return
	}
	w.status = status
	w.sent = w.header.Clone()
	close(w.headed)
}

// Write implements http.ResponseWriter.
func (w *pipeWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	return w.writer.Write(p)
}

// Flush implements http.Flusher; nothing is held back.
func (w *pipeWriter) Flush() { w.WriteHeader(http.StatusOK) }

// finish ends the answer. Without a status there is none.
func (w *pipeWriter) finish(err error) {
	if w.status == 0 && err != nil {
		w.err = err
		close(w.headed)
		return
	}
	w.WriteHeader(http.StatusOK)
	if err == nil {
		_ = w.writer.Close()
		return
	}
	_ = w.writer.CloseWithError(errors.Join(endpoint.ErrBroken, err))
}

func (w *pipeWriter) response() (endpoint.ServiceResponse, error) {
	if w.err != nil {
		return endpoint.ServiceResponse{}, fmt.Errorf("%w: %w", endpoint.ErrBroken, w.err)
	}
	return endpoint.ServiceResponse{Status: w.status, Header: w.sent, Body: w.reader}, nil
}
