package httpresponse

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
)

// Transport is an http.Transport whose responses are checked. An error of RoundTrip or of reading a body that wraps ErrMalformed or
// ErrIncomplete means that the request may have run. The connection of such a response is not used again.
type Transport struct{ pool *http.Transport }

var _ http.RoundTripper = (*Transport)(nil)

// NewTransport returns a Transport that sends by the pool, which must not have been used and must not be used directly afterwards. It
// speaks HTTP/1.1 and returns bodies as they were sent.
func NewTransport(pool *http.Transport) *Transport {
	pool.DisableCompression = true
	pool.ForceAttemptHTTP2 = false
	pool.TLSNextProto = map[string]func(string, *tls.Conn) http.RoundTripper{}
	dial := pool.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	dialTLS := pool.DialTLSContext
	if dialTLS == nil {
		dialTLS = tlsDialer(dial, pool)
	}
	pool.DialContext, pool.DialTLSContext = checked(dial), checked(dialTLS)
	return &Transport{pool}
}

// NewClient returns a client whose responses are checked. It uses no proxy.
func NewClient() *http.Client {
	pool := http.DefaultTransport.(*http.Transport).Clone()
	pool.Proxy = nil
	return &http.Client{Transport: NewTransport(pool)}
}

type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// checked returns a dialFunc whose connections check the heads that arrive.
func checked(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConn(raw), nil
	}
}

// tlsDialer returns a dialFunc of TLS connections with the pool's settings.
func tlsDialer(dial dialFunc, pool *http.Transport) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		secure, err := handshake(ctx, raw, pool, address)
		if err != nil {
			_ = raw.Close() // the error of the handshake counts
			return nil, err
		}
		return secure, nil
	}
}

func handshake(ctx context.Context, raw net.Conn, pool *http.Transport, address string) (*tls.Conn, error) {
	config := pool.TLSClientConfig.Clone()
	if config == nil {
		config = &tls.Config{}
	}
	config.NextProtos = nil
	if config.ServerName == "" {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		config.ServerName = host
	}
	if pool.TLSHandshakeTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, pool.TLSHandshakeTimeout)
		defer cancel()
	}
	secure := tls.Client(raw, config)
	return secure, secure.HandshakeContext(ctx)
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	r := newRoundTrip(request)
	response, err := t.pool.RoundTrip(request.WithContext(r.trace(request.Context())))
	if err != nil {
		return nil, err
	}
	response.Request = request
	r.checkBody(response)
	return response, nil
}

// CloseIdleConnections closes the connections that are not in use.
func (t *Transport) CloseIdleConnections() { t.pool.CloseIdleConnections() }
