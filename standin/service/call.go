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

// Call implements endpoint.Service in process, without a network connection. The
// response body is streamed.
func (s *Service) Call(ctx context.Context, call endpoint.ServiceRequest) (endpoint.ServiceResponse, error) {
	if !s.isAvailable() {
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
	go s.servePipe(w, request)
	select {
	case <-w.headersReady:
		return w.response()
	case <-ctx.Done():
		_ = w.reader.Close()
		return endpoint.ServiceResponse{}, fmt.Errorf("%w: %w", endpoint.ErrBroken, context.Cause(ctx))
	}
}

func (s *Service) isAvailable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.available
}

// servePipe has the router write its response to the pipe. A handler that aborts
// closes the pipe with an error.
func (s *Service) servePipe(w *pipeWriter, request *http.Request) {
	defer func() {
		if r := recover(); r != nil {
			if r != any(http.ErrAbortHandler) {
				panic(r)
			}
			w.finish(errAborted)
		}
	}()
	s.router.ServeHTTP(w, request)
	w.finish(nil)
}

// pipeWriter is an http.ResponseWriter whose body is read through a pipe by a
// caller in the same process.
type pipeWriter struct {
	header     http.Header
	status     int
	sentHeader http.Header
	err        error
	// headersReady is closed once status, sentHeader and err may be read.
	headersReady chan struct{}
	reader       *io.PipeReader
	writer       *io.PipeWriter
}

func newPipeWriter() *pipeWriter {
	w := &pipeWriter{header: make(http.Header), headersReady: make(chan struct{})}
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
	w.sentHeader = w.header.Clone()
	close(w.headersReady)
}

// Write implements http.ResponseWriter.
func (w *pipeWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	return w.writer.Write(p)
}

// Flush implements http.Flusher. Writes are not buffered, so that only the header
// remains to be sent.
func (w *pipeWriter) Flush() { w.WriteHeader(http.StatusOK) }

// finish ends the response. If err is not nil and no status was written, the
// caller gets err in place of a response.
func (w *pipeWriter) finish(err error) {
	if w.status == 0 && err != nil {
		w.err = err
		close(w.headersReady)
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
	return endpoint.ServiceResponse{Status: w.status, Header: w.sentHeader, Body: w.reader}, nil
}
