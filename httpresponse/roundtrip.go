package httpresponse

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// roundTrip is a request and its response.
type roundTrip struct {
	upgrade bool
	conn    atomic.Pointer[conn]
}

func newRoundTrip(request *http.Request) *roundTrip {
	return &roundTrip{upgrade: request.Header.Get("Upgrade") != ""}
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
			r.conn.Store(c)
		},
	})
}

// watch makes the end of the response's body depend on what net/http does not check: the fields after it.
func (r *roundTrip) watch(response *http.Response) {
	c := r.conn.Load()
	if c == nil || len(response.TransferEncoding) == 0 {
		return
	}
	c.unread.Lock()
	response.Body = &body{ReadCloser: response.Body, roundTrip: r, response: response}
}

// checkEnd checks a response whose body has been read to its end.
func (r *roundTrip) checkEnd(response *http.Response) error {
	err := CheckTrailer(response.Trailer)
	if err != nil {
		r.conn.Load().fail(err)
	}
	return err
}
