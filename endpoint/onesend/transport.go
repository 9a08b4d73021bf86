package onesend

import (
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"hawthornrill.example/hawthornrill/endpoint"
)

// Transport keeps pooled connections to endpoints. It speaks HTTP/1.1, follows
// no redirects, uses no proxy and leaves bodies as they are.
type Transport struct {
	pool http.Transport
}

// New returns a Transport.
func New(options Options) *Transport {
	options = options.withDefaults()
	d := options.dialer()
	t := &Transport{}
	t.pool.DialContext = d.dial
	t.pool.TLSClientConfig = options.TLS
	t.pool.TLSHandshakeTimeout = options.DialTimeout
	t.pool.TLSNextProto = map[string]func(string, *tls.Conn) http.RoundTripper{}
	t.pool.MaxIdleConnsPerHost = options.IdlePerHost
	t.pool.IdleConnTimeout = options.IdleTimeout
	t.pool.DisableCompression = true
	return t
}

// Send sends the request at most once. If it fails before a byte of it was
// written, the error wraps endpoint.ErrNotDispatched; otherwise it wraps
// endpoint.ErrBroken and the endpoint may have got the request. The response's
// body must be closed.
func (t *Transport) Send(request *http.Request) (*http.Response, error) {
	var got attempt
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), got.trace()))
	makeUnrepeatable(request)
	response, err := t.pool.RoundTrip(request)
	if err == nil {
		return response, nil
	}
	if got.wrote() {
		return nil, fmt.Errorf("%w: %w", endpoint.ErrBroken, err)
	}
	return nil, fmt.Errorf("%w: %w", endpoint.ErrNotDispatched, err)
}

// CloseIdleConnections closes the connections that are not in use.
func (t *Transport) CloseIdleConnections() { t.pool.CloseIdleConnections() }

// attempt watches the connection that a request is given.
type attempt struct {
	conn   atomic.Pointer[conn]
	before atomic.Uint64
	// strange is set if the connection is of a kind that can't be watched.
	strange atomic.Bool
}

func (a *attempt) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: a.gotConn}
}

func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	c, ok := counted(info.Conn)
	if !ok {
		a.strange.Store(true)
		return
	}
	a.before.Store(c.attempts.Load())
	a.conn.Store(c)
}

func counted(c net.Conn) (*conn, bool) {
	if secure, ok := c.(*tls.Conn); ok {
		c = secure.NetConn()
	}
	watched, ok := c.(*conn)
	return watched, ok
}

// wrote reports whether a byte of the request may have been written. It is
// called after RoundTrip failed, by which time the connection is closed.
func (a *attempt) wrote() bool {
	if a.strange.Load() {
		return true
	}
	c := a.conn.Load()
	return c != nil && c.attempts.Load() != a.before.Load()
}
