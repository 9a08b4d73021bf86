package onesend

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/httpresponse"
)

// Transport pools connections to endpoints. It speaks HTTP/1.1, does not follow redirects or use a
// proxy, and does not modify bodies.
type Transport struct {
	pool  *httpresponse.Transport
	rests *rests
}

// New returns a Transport with the given options.
func New(options Options) *Transport {
	options = options.withDefaults()
	d := options.dialer()
	return &Transport{
		pool: httpresponse.NewTransport(&http.Transport{
			DialContext:         d.dial,
			TLSClientConfig:     options.TLS,
			TLSHandshakeTimeout: options.DialTimeout,
			MaxIdleConnsPerHost: options.IdlePerHost,
			IdleConnTimeout:     options.IdleTimeout,
		}),
		rests: newRests(options),
	}
}

// Send sends the request at most once. If it fails before any byte was written, the error wraps
// endpoint.ErrNotDispatched; otherwise it wraps endpoint.ErrBroken, and the endpoint may have
// received the request. The response body must be closed. During a rest that the host asked for
// nothing is sent, and the error wraps ErrResting too.
func (t *Transport) Send(request *http.Request) (*http.Response, error) {
	if err := t.rests.check(request); err != nil {
		return nil, fmt.Errorf("%w: %w", endpoint.ErrNotDispatched, err)
	}
	var tracked attempt
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), tracked.trace()))
	disableRetries(request)
	response, err := t.pool.RoundTrip(request)
	if err == nil {
		t.rests.observe(request.URL.Host, response)
		return response, nil
	}
	if tracked.mayHaveWritten() {
		return nil, fmt.Errorf("%w: %w", endpoint.ErrBroken, err)
	}
	return nil, fmt.Errorf("%w: %w", endpoint.ErrNotDispatched, err)
}

// CloseIdleConnections closes the connections that are not in use.
func (t *Transport) CloseIdleConnections() { t.pool.CloseIdleConnections() }

// attempt tracks the connection that a request is sent on.
type attempt struct {
	conn           atomic.Pointer[conn]
	attemptsBefore atomic.Uint64
	// untracked is set if the connection is of a type whose writes can't be counted.
	untracked atomic.Bool
}

func (a *attempt) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: a.gotConn}
}

func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	c, ok := trackedConn(info.Conn)
	if !ok {
		a.untracked.Store(true)
		return
	}
	a.attemptsBefore.Store(c.writeAttempts.Load())
	a.conn.Store(c)
}

// trackedConn returns the connection under those that check it or encrypt it.
func trackedConn(c net.Conn) (*conn, bool) {
	for {
		layer, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		c = layer.NetConn()
	}
	tracked, ok := c.(*conn)
	return tracked, ok
}

// mayHaveWritten reports whether any byte of the request may have been written. It is called after
// RoundTrip has failed, when the connection is already closed.
func (a *attempt) mayHaveWritten() bool {
	if a.untracked.Load() {
		return true
	}
	c := a.conn.Load()
	return c != nil && c.writeAttempts.Load() != a.attemptsBefore.Load()
}
