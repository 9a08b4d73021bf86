// Package exchange sends HTTP/1.1 requests to endpoints, each at most once, over persistent
// connections.
//
// It does not use http.Transport, which retries requests by itself, does not respect the idle
// timeout that an endpoint announces, and can't distinguish the response to an earlier request from
// the expected one. Requests and responses are written and parsed by net/http.
//
// Guarantees: An error that wraps endpoint.ErrNotDispatched means that not a single byte was sent.
// After any other error the request may have been run. A malformed response is such an error; see package httpresponse. A response that
// belongs to another request is skipped. A connection is reused only if its last response was read to the end, no other data
// has arrived since, and it has been idle for less than the endpoint allows. A connection that is
// closed before the endpoint's host has acknowledged the whole request is reset, so that the rest
// of the request is never delivered.
package exchange

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/netdial"
)

const (
	// dialTimeout limits the time to open a connection. Data centres are a few milliseconds apart;
	// an endpoint that is gone does not respond at all, and as nothing has been sent, another
	// endpoint can be tried.
	dialTimeout = 250 * time.Millisecond
	// deadPeerTimeout is how long sent data may stay unacknowledged before the connection counts as
	// dead. A sound endpoint may be silent for a second or so. Idle connections to an endpoint that is
	// cut off are found dead after netdial.SilenceLimit, two seconds.
	deadPeerTimeout = 1900 * time.Millisecond
	// defaultIdleTimeout applies if the endpoint announces no idle timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from the announced idle timeout, for the request to arrive in
	// time.
	idleTimeoutMargin = 500 * time.Millisecond
	// maxIdleTimeout bounds the announced idle timeout.
	maxIdleTimeout = time.Hour
	// defaultMaxIdle is the default limit on idle connections to one endpoint. It exceeds the
	// number of concurrent requests from a node to an endpoint.
	defaultMaxIdle = 32
	// maxStaleResponses limits the number of skipped responses to other requests.
	maxStaleResponses = 2
)

// Request is a request to an endpoint.
type Request struct {
	// Endpoint identifies the endpoint's incarnation, and Address is its "IP:port".
	Endpoint domain.EndpointID
	Address  string
	Method   string
	// Target is the path and query, sent unchanged.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Permit is called when a connection is open, immediately before the first byte is sent. If it returns
	// an error, nothing is sent. It may be nil.
	Permit func() error
	// Handshake, if above 0, makes the request one of two phases: its body is sent only once the receiver has asked for it with
	// an interim response 100. If that does not come within this time, or the receiver shows no sign of life within
	// aliveTimeout, the request is given up as not dispatched. The receiver must not run a request whose body is incomplete.
	Handshake time.Duration
	// Committed is called once the whole body of a two-phase request is about to be sent. It may be nil.
	Committed func()
	// Matches is called with the head of each response and reports whether it belongs to this request;
	// nil accepts any.
	Matches func(status int, header http.Header) bool
}

// Client sends requests and pools connections to endpoints. It is safe for concurrent use.
type Client struct {
	dialer  *netdial.Dialer
	options Options
	// open is the number of connections, including those being dialled.
	open atomic.Int64

	mu   sync.Mutex
	idle map[domain.EndpointID][]*conn

	dials, reused, stale, unacknowledged *metrics.Counter
}

// Options configures a Client.
type Options struct {
	// Receivers is what the client sends to, in the names of its metrics; "endpoint" if it is empty.
	Receivers string
	// MaxConnections limits the open connections to all endpoints; 0 means no limit.
	MaxConnections int
	// MaxIdle limits the idle connections to one endpoint; nil means defaultMaxIdle.
	MaxIdle func(domain.EndpointID) int
}

// New returns a client that registers its metrics with set.
func New(options Options, set *metrics.Set) *Client {
	if options.MaxIdle == nil {
		options.MaxIdle = func(domain.EndpointID) int { return defaultMaxIdle }
	}
	if options.Receivers == "" {
		options.Receivers = "endpoint"
	}
	name := func(suffix string) string { return "hawthornrill_" + options.Receivers + "_" + suffix }
	c := &Client{
		dialer:  netdial.New(dialTimeout, deadPeerTimeout),
		options: options,
		idle:    make(map[domain.EndpointID][]*conn),
		dials:   set.NewCounter(name("dials_total")),
		reused:  set.NewCounter(name("connections_reused_total")),
		stale:   set.NewCounter(name("stale_answers_total")),

		unacknowledged: set.NewCounter(name("requests_unacknowledged_total")),
	}
	set.NewGauge(name("connections"), func() float64 { return float64(c.open.Load()) })
	return c
}

// Send sends the request and returns the response, which must be closed. The context also covers
// the response body: when it ends, the connection is closed, which tells the endpoint to stop.
func (c *Client) Send(ctx context.Context, r *Request) (*Response, error) {
	if ctx.Err() != nil {
		return nil, fmt.Errorf("%w: %w", endpoint.ErrNotDispatched, context.Cause(ctx))
	}
	conn, err := c.connection(ctx, r)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", endpoint.ErrNotDispatched, err)
	}
	if r.Permit != nil {
		if err := r.Permit(); err != nil {
			conn.close()
			return nil, fmt.Errorf("%w: %w", endpoint.ErrNotDispatched, err)
		}
	}
	stop := context.AfterFunc(ctx, func() { conn.close() })
	if r.Handshake > 0 {
		early, err := conn.handshake(r)
		if err != nil {
			stop()
			conn.close()
			return nil, fmt.Errorf("%w: %w", endpoint.ErrNotDispatched, err)
		}
		if early != nil {
			return &Response{Response: early, client: c, conn: conn, endpoint: r.Endpoint, stopAfterFunc: stop, beforeBody: true}, nil
		}
	} else if err := conn.write(r); err != nil {
		stop()
		return nil, c.abandon(conn, err)
	}
	response, err := c.readResponse(conn, r)
	if err != nil {
		stop()
		return nil, c.abandon(conn, fmt.Errorf("%w: %w", endpoint.ErrBroken, err))
	}
	return &Response{Response: response, client: c, conn: conn, endpoint: r.Endpoint, stopAfterFunc: stop}, nil
}

// abandon closes a connection whose request got no response, and adds endpoint.ErrUnacknowledged to
// the error if part of the request was not acknowledged.
func (c *Client) abandon(conn *conn, err error) error {
	conn.close()
	if errors.Is(err, endpoint.ErrNotDispatched) || !conn.ClosedUnacknowledged() {
		return err
	}
	c.unacknowledged.Inc()
	return fmt.Errorf("%w: %w", err, endpoint.ErrUnacknowledged)
}

// connection returns a reusable idle connection, or dials.
func (c *Client) connection(ctx context.Context, r *Request) (*conn, error) {
	for {
		conn := c.takeIdle(r.Endpoint)
		if conn == nil {
			break
		}
		if time.Now().Before(conn.idleUntil) && conn.reusable() {
			c.reused.Inc()
			return conn, nil
		}
		conn.close()
	}
	return c.dial(ctx, r.Address)
}

// errTooManyConnections means that the limit on open connections is reached and none is idle.
var errTooManyConnections = errors.New("exchange: too many open connections")

// dial opens a connection. At the limit on open connections, it closes an idle one to any endpoint.
func (c *Client) dial(ctx context.Context, address string) (*conn, error) {
	limit := int64(c.options.MaxConnections)
	for c.open.Add(1) > limit && limit > 0 {
		c.open.Add(-1)
		if !c.closeIdle() {
			return nil, errTooManyConnections
		}
	}
	c.dials.Inc()
	raw, err := c.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		c.open.Add(-1)
		return nil, err
	}
	return newConn(raw, func() { c.open.Add(-1) }), nil
}

// closeIdle closes the least recently used idle connection of an arbitrary endpoint, and reports
// whether there was one.
func (c *Client) closeIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, list := range c.idle {
		if len(list) == 0 {
			continue
		}
		list[0].close()
		c.idle[id] = append(list[:0], list[1:]...)
		return true
	}
	return false
}

func (c *Client) takeIdle(id domain.EndpointID) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[id]
	if len(list) == 0 {
		return nil
	}
	last := list[len(list)-1]
	c.idle[id] = list[:len(list)-1]
	return last
}

func (c *Client) putIdle(id domain.EndpointID, conn *conn, idle time.Duration) {
	conn.idleUntil = time.Now().Add(idle)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[id]) >= c.options.MaxIdle(id) {
		conn.close()
		return
	}
	c.idle[id] = append(c.idle[id], conn)
}

// PruneIdle closes the idle connections to endpoints that are not listed, those that have exceeded
// their idle timeout, and those on which data has arrived, which would fill their buffers.
func (c *Client) PruneIdle(listed func(domain.EndpointID) bool) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, list := range c.idle {
		kept := list[:0]
		for _, conn := range list {
			if listed(id) && now.Before(conn.idleUntil) && conn.reusable() {
				kept = append(kept, conn)
				continue
			}
			conn.close()
		}
		clear(list[len(kept):])
		c.idle[id] = kept
		if len(kept) == 0 {
			delete(c.idle, id)
		}
	}
}

// errStale means that only responses to other requests were received.
var errStale = errors.New("exchange: received only responses to other requests")

// readResponse reads the head of the response, skipping those to other requests.
func (c *Client) readResponse(conn *conn, r *Request) (*http.Response, error) {
	for skipped := 0; skipped <= maxStaleResponses; {
		response, err := conn.readHead(r.Method)
		if err != nil {
			return nil, err
		}
		if r.Matches == nil || r.Matches(response.StatusCode, response.Header) {
			return response, nil
		}
		skipped++
		c.stale.Inc()
		if err := discard(response); err != nil {
			return nil, err
		}
	}
	return nil, errStale
}

// encode returns the request in wire format. Its body always has a Content-Length, whichever
// framing the caller used, so that no part of it can be parsed as another request.
func (r *Request) encode() []byte {
	var b bytes.Buffer
	b.Grow(len(r.Body) + 1024)
	r.writeHead(&b)
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// writeHead writes the request line and the header, without the fields that frame the body.
func (r *Request) writeHead(b *bytes.Buffer) {
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(b) // writing to a bytes.Buffer never fails
}
