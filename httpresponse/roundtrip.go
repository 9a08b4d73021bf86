package httpresponse

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// roundTrip is a request and its response.
type roundTrip struct {
	upgrade bool
	conn    atomic.Pointer[conn]
	// written is true once the whole request has been handed to the connection. wrote receives a value when writing has succeeded or
	// failed.
	written atomic.Bool
	wrote   chan struct{}
}

func newRoundTrip(request *http.Request) *roundTrip {
	return &roundTrip{upgrade: request.Header.Get("Upgrade") != "", wrote: make(chan struct{}, 1)}
}

// trace returns a context that makes the connection expect a response.
func (r *roundTrip) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			c, ok := info.Conn.(*conn)
			if !ok {
				return // one that was dialled for another protocol
			}
			c.expect(r.upgrade)
			r.written.Store(false) // http.Transport may have written the request to another connection
			r.conn.Store(c)
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			r.written.Store(info.Err == nil)
			select {
			case r.wrote <- struct{}{}:
			default:
			}
		},
	})
}

// checkBody wraps a body whose end net/http does not check far enough: one in chunks, or one that lasts until the connection ends.
func (r *roundTrip) checkBody(response *http.Response) {
	c := r.conn.Load()
	if c == nil || response.ContentLength >= 0 || response.Body == http.NoBody || response.StatusCode == http.StatusSwitchingProtocols {
		return
	}
	c.unchecked.Lock()
	response.Body = &body{ReadCloser: response.Body, roundTrip: r, response: response}
}

// checkEnd checks a response whose body has been read to its end.
func (r *roundTrip) checkEnd(response *http.Response) error {
	c := r.conn.Load()
	if len(response.TransferEncoding) > 0 {
		err := CheckTrailer(response.Trailer)
		if err != nil {
			c.fail(err)
		}
		return err
	}
	switch {
	case !r.requestSent():
		return errRequestUnsent
	case c.endedByReset():
		return errReset
	default:
		return nil
	}
}

// maxWriterLag bounds the wait for the writer of a request whose response has ended. http.Transport closes the connection then, so that
// the writer ends soon unless it waits for the rest of the request.
const maxWriterLag = time.Second

// requestSent reports whether the whole request was sent. The response may have ended before the writer reports that.
func (r *roundTrip) requestSent() bool {
	if r.written.Load() {
		return true
	}
	timer := time.NewTimer(maxWriterLag)
	defer timer.Stop()
	select {
	case <-r.wrote:
	case <-timer.C:
	}
	return r.written.Load()
}
