// Package callers accepts callers' connections for a net/http server and closes them without dropping a request that has
// arrived.
//
// SetFinalResponse makes it answer a request that crosses the close of an idle connection.
//
// A server that drains calls IgnoreNewConnections and StopAccepting, then CloseConnections, and then Shutdown. Its ConnState is
// TrackState.
package callers

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"hawthornrill.example/hawthornrill/pacing"
)

// Listener accepts callers' connections. It limits the number of open connections; further ones wait to be accepted.
type Listener struct {
	net.Listener
	closeOnce func() error
	// finalResponse is sent on an idle connection before it is closed; none if empty.
	finalResponse []byte
	// limit is the number of connections that are served, 0 for no limit. freed receives a token when one is closed.
	limit int
	freed chan struct{}
	heads HeadLimits
	// refusals counts connections and requests that were refused since the last report.
	refusals [reasons]atomic.Int64
	// reclaiming is held while connections are reclaimed, last at reclaimedAt.
	reclaiming  sync.Mutex
	reclaimedAt time.Time
	// draining is true once net/http may close idle connections because the server is shut down.
	draining atomic.Bool

	mu   sync.Mutex
	open map[*conn]bool
	// pending holds the connections that were established but not accepted when the listener was closed.
	pending []net.Conn
}

// NewListener returns a listener that holds at most limit connections open; 0 means no limit.
func NewListener(l net.Listener, limit int) *Listener {
	return &Listener{
		Listener: l, closeOnce: sync.OnceValue(func() error { return l.Close() }), open: make(map[*conn]bool), limit: limit,
		freed: make(chan struct{}, 1),
	}
}

// SetHeadLimits sets bounds for requests and their heads. It must not be called while connections are accepted.
func (l *Listener) SetHeadLimits(limits HeadLimits) { l.heads = limits }

// SetFinalResponse sets the response, in its form on the wire, that the caller of an idle connection gets before the connection
// is closed: it answers a request that was sent before the caller noticed the close. It must not be called while connections
// are accepted.
func (l *Listener) SetFinalResponse(response []byte) { l.finalResponse = response }

// Accept implements net.Listener. At the limit it holds a further connection until another one is closed.
func (l *Listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	c, err := l.add(raw, err)
	if err != nil {
		return nil, err
	}
	l.waitForRoom()
	return c, nil
}

// add adds a connection that was accepted, or one of those that were established when the listener was closed.
func (l *Listener) add(raw net.Conn, err error) (*conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil && len(l.pending) > 0 {
		raw, err = l.pending[0], nil
		l.pending = l.pending[1:]
	}
	if err != nil {
		return nil, err
	}
	c := l.newConn(raw)
	l.open[c] = true
	return c, nil
}

// waitForRoom waits until there are no more connections than the limit.
func (l *Listener) waitForRoom() {
	for l.limit > 0 && l.openCount() > l.limit {
		l.reclaim(connections)
		select {
		case <-l.freed:
		case <-time.After(reclaimInterval):
		}
	}
}

func (l *Listener) openCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

func (l *Listener) newConn(raw net.Conn) *conn {
	c := &conn{Conn: raw, socket: socketOf(raw), listener: l, accepted: time.Now(), idle: true}
	if l.heads.Budget != nil {
		c.held = l.heads.Budget.Reserve(largeHeadPart)
	}
	return c
}

// IgnoreNewConnections makes the kernel drop requests for new connections until the listener is closed, and waits for the
// connections that are being established. It returns an error if the kernel does not support that.
func (l *Listener) IgnoreNewConnections() error {
	if err := ignoreNewConnections(l.Listener); err != nil {
		return err
	}
	time.Sleep(handshakePeriod)
	return nil
}

// StopAccepting closes the listening socket. Connections that are established already are still accepted.
func (l *Listener) StopAccepting() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = acceptEstablished(l.Listener)
	return l.Close()
}

// Close implements net.Listener. The server closes its listener, too.
func (l *Listener) Close() error { return l.closeOnce() }

// CloseConnections closes each connection once it has been unused for the given time, until none is open or the context ends,
// whose cause it returns. http.Server.Shutdown must not do it: it may close a connection on which a request has just begun.
func (l *Listener) CloseConnections(ctx context.Context, unused time.Duration) error {
	for !l.closeUnused(time.Now().Add(-unused)) {
		if !pacing.Sleep(ctx, closePollInterval) {
			return context.Cause(ctx)
		}
	}
	return nil
}

// EndUnread sends the final response on the connections of whose next request nothing has been read, whether or not it has
// arrived, and returns their number. It is for a process that exits and has not come round to reading them.
func (l *Listener) EndUnread() (ended int) {
	for _, c := range append(l.openConns(), l.takePending()...) {
		if c.endUnread() {
			ended++
		}
	}
	return ended
}

// takePending returns the connections that were not accepted; they won't be.
func (l *Listener) takePending() (pending []*conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, raw := range l.pending {
		pending = append(pending, l.newConn(raw))
	}
	l.pending = nil
	return pending
}

// Shutdown shuts down the server that the listener accepts for.
func (l *Listener) Shutdown(ctx context.Context, server *http.Server) error {
	l.draining.Store(true)
	return server.Shutdown(ctx)
}

// closeUnused closes the connections that have not been used since the given time, or that never had a request, once
// neverUsedTimeout has passed. It reports whether none is open.
func (l *Listener) closeUnused(since time.Time) bool {
	for _, c := range l.openConns() {
		_ = c.closeIfUnused(since) // the caller may have closed it already
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)+len(l.pending) == 0
}

// openConns returns the open connections. Their locks must not be taken under that of the listener: a connection that is being
// closed takes them the other way round.
func (l *Listener) openConns() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.open))
}

// remove removes a closed connection, which makes room for another one.
func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	delete(l.open, c)
	l.mu.Unlock()
	select {
	case l.freed <- struct{}{}:
	default: // there is a token already
	}
}

// CloseIdle closes connections that have been idle for longer than the limit of the configuration; 0 means no limit.
func (l *Listener) CloseIdle(limit time.Duration) {
	if limit <= 0 {
		return
	}
	before := time.Now().Add(-limit - idleTimeoutMargin)
	for _, c := range l.openConns() {
		_ = c.closeIfIdle(before) // the caller may have closed it already
	}
}
