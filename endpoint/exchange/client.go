// Package exchange sends HTTP/1.1 requests to endpoints, each at most once, over kept connections.
//
// The library's own transport is not used, because it repeats requests by itself, does not keep to the idle time that
// an endpoint states, and can't tell an answer to an earlier request from the one that is waited for. Requests and
// answers are written and parsed by net/http.
//
// Guarantees. An error that wraps endpoint.ErrNotDispatched means that not one byte was sent. Any other error means
// that the request may have run. An answer that names another request is skipped. A connection is used again only if
// its last answer was read to its end, nothing else has come in since, and it has been idle for less than the endpoint
// allows. A connection that is closed before the endpoint's host has acknowledged the whole request is reset, so that the rest
// of it is never delivered.
package exchange

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math"
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
	// dialTimeout bounds a new connection. Data centres are a few milliseconds apart; an endpoint that is gone answers
	// nothing, and another one can be tried as long as nothing was sent.
	dialTimeout = 250 * time.Millisecond
	// silentTimeout is how long sent bytes may stay unacknowledged before the connection is taken for dead.
	silentTimeout = 1500 * time.Millisecond
	// defaultIdle is how long a connection may be idle if the endpoint states nothing.
	defaultIdle = 4 * time.Second
	// idleMargin is what is left of the stated time for the request to arrive.
	idleMargin = 500 * time.Millisecond
	// maxIdle bounds the idle connections kept to one endpoint if the options do not: more than a node has there at a time.
	maxIdle = 32
	// maxHeadBytes bounds the head of an answer.
	maxHeadBytes = 64 << 10
	// maxStale is the number of answers to other requests that are skipped.
	maxStale = 2
)

// Request is a request to an endpoint.
type Request struct {
	// Endpoint and Address name the life and where it is reached, "IP:port".
	Endpoint domain.EndpointID
	Address  string
	Method   string
	// Target is the path and query exactly as they are to be sent.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Answers reports whether the head of an answer belongs to this request; nil takes any.
	Matches func(http.Header) bool
}

// Client keeps connections to endpoints. It is safe for concurrent use.
type Client struct {
	dialer  *netdial.Dialer
	options Options
	// open counts the connections, those being dialled included.
	open atomic.Int64

	mu   sync.Mutex
	idle map[domain.EndpointID][]*conn

	dials, reused, stale, unacknowledged *metrics.Counter
}

// Options bound a Client.
type Options struct {
	// Connections bounds the open connections to all endpoints; 0 is no bound.
	MaxConnections int
	// Idle bounds the idle ones kept to an endpoint; nil means maxIdle.
	MaxIdle func(domain.EndpointID) int
}

// New returns a client without connections.
func New(options Options, set *metrics.Set) *Client {
	if options.MaxIdle == nil {
		options.MaxIdle = func(domain.EndpointID) int { return maxIdle }
	}
	c := &Client{
		dialer:  netdial.New(dialTimeout, silentTimeout),
		options: options,
		idle:    make(map[domain.EndpointID][]*conn),
		dials:   set.NewCounter("hawthornrill_endpoint_dials_total"),
		reused:  set.NewCounter("hawthornrill_endpoint_connections_reused_total"),
		stale:   set.NewCounter("hawthornrill_endpoint_stale_answers_total"),

		unacknowledged: set.NewCounter("hawthornrill_endpoint_requests_unacknowledged_total"),
	}
	set.NewGauge("hawthornrill_endpoint_connections", func() float64 { return float64(c.open.Load()) })
	return c
}

// Send sends the request and returns the answer, whose Close must be called. The context bounds the answer's body too:
// when it ends, the connection is closed, which tells the endpoint to stop.
func (c *Client) Send(ctx context.Context, r *Request) (*Response, error) {
	if ctx.Err() != nil {
		return nil, fmt.Errorf("%w: %w", endpoint.ErrNotDispatched, context.Cause(ctx))
	}
	conn, err := c.connection(ctx, r)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", endpoint.ErrNotDispatched, err)
	}
	stop := context.AfterFunc(ctx, func() { conn.close() })
	if err := conn.write(r); err != nil {
		stop()
		return nil, c.abandon(conn, err)
	}
	response, err := c.read(conn, r)
	if err != nil {
		stop()
		return nil, c.abandon(conn, fmt.Errorf("%w: %w", endpoint.ErrBroken, err))
	}
	return &Response{Response: response, client: c, conn: conn, endpoint: r.Endpoint, stop: stop}, nil
}

// abandon closes a connection whose request has no answer, and adds to the error what was not acknowledged of it.
func (c *Client) abandon(conn *conn, err error) error {
	conn.close()
	if errors.Is(err, endpoint.ErrNotDispatched) || !conn.Pending() {
		return err
	}
	c.unacknowledged.Inc()
	return fmt.Errorf("%w: %w", err, endpoint.ErrUnacknowledged)
}

// connection takes an idle one or dials.
func (c *Client) connection(ctx context.Context, r *Request) (*conn, error) {
	for {
		conn := c.take(r.Endpoint)
		if conn == nil {
			break
		}
		if time.Now().Before(conn.idleUntil) && conn.quiet() {
			c.reused.Inc()
			return conn, nil
		}
		conn.close()
	}
	return c.dial(ctx, r.Address)
}

// errTooMany means that no connection more may be opened and none is idle.
var errTooMany = errors.New("exchange: too many connections are open")

// dial opens a connection. At the bound on open ones an idle one to another endpoint makes room.
func (c *Client) dial(ctx context.Context, address string) (*conn, error) {
	most := int64(c.options.MaxConnections)
	for c.open.Add(1) > most && most > 0 {
		c.open.Add(-1)
		if !c.closeIdle() {
			return nil, errTooMany
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

// closeIdle closes an idle connection, the one that was used longest ago of some endpoint, and reports whether there was
// one.
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

func (c *Client) take(id domain.EndpointID) *conn {
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

func (c *Client) keep(id domain.EndpointID, conn *conn, idle time.Duration) {
	conn.idleUntil = time.Now().Add(idle)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[id]) >= c.options.MaxIdle(id) {
		conn.close()
		return
	}
	c.idle[id] = append(c.idle[id], conn)
}

// Forget closes the idle connections to an endpoint that is gone, and those that have been idle too long.
func (c *Client) PruneIdle(listed func(domain.EndpointID) bool) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, list := range c.idle {
		kept := list[:0]
		for _, conn := range list {
			if listed(id) && now.Before(conn.idleUntil) {
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

// errStale means that only answers to other requests came.
var errStale = errors.New("exchange: the answers belong to other requests")

// read reads the head of the request's answer, and skips interim answers and those to other requests.
func (c *Client) read(conn *conn, r *Request) (*http.Response, error) {
	for skipped := 0; skipped <= maxStale; {
		conn.limit = maxHeadBytes
		response, err := http.ReadResponse(conn.reader, &http.Request{Method: r.Method})
		conn.limit = math.MaxInt64
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if r.Matches == nil || r.Matches(response.Header) {
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

// bytes encodes the request. Its body always has a length, whatever the caller used, so that nothing in it can be
// taken for another request.
func (r *Request) bytes() []byte {
	var b bytes.Buffer
	b.Grow(len(r.Body) + 1024)
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&b) // a bytes.Buffer does not fail
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}
