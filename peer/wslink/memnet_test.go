package wslink

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// expiredDeadline is a deadline in the past.
var expiredDeadline = time.Unix(1, 0)

// memNet is an in-memory network, so that transports can run under testing/synctest.
type memNet struct {
	mu        sync.Mutex
	listeners map[string]*memListener
	dials     atomic.Int32
	// discardWrites makes all connections drop what is written to them.
	discardWrites atomic.Bool
}

var errRefused = errors.New("connection refused")

func newMemNet() *memNet { return &memNet{listeners: make(map[string]*memListener)} }

func (n *memNet) dial(_ context.Context, address string) (net.Conn, error) {
	n.dials.Add(1)
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, errRefused
	}
	dialled, accepted := newMemPair(n)
	select {
	case l.incoming <- accepted:
		return dialled, nil
	case <-l.closed:
		return nil, errRefused
	}
}

func (n *memNet) listen(address string) *memListener {
	l := &memListener{net: n, address: address, incoming: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	n.listeners[address] = l
	n.mu.Unlock()
	return l
}

type memListener struct {
	net      *memNet
	address  string
	incoming chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (l *memListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.incoming:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memListener) Close() error {
	l.once.Do(func() {
		l.net.mu.Lock()
		delete(l.net.listeners, l.address)
		l.net.mu.Unlock()
		close(l.closed)
	})
	return nil
}

func (l *memListener) Addr() net.Addr { return loopback{} }

type loopback struct{}

func (loopback) Network() string { return "tcp" }
func (loopback) String() string  { return "127.0.0.1:1" }

// memConn is an end of a pipe whose writes are buffered, like those of a socket.
type memConn struct {
	net.Conn
	net    *memNet
	writes chan []byte
	done   chan struct{}
	once   sync.Once
}

func newMemPair(n *memNet) (net.Conn, net.Conn) {
	a, b := net.Pipe()
	return newMemConn(n, a), newMemConn(n, b)
}

func newMemConn(n *memNet, c net.Conn) *memConn {
	m := &memConn{Conn: c, net: n, writes: make(chan []byte, 1024), done: make(chan struct{})}
	go m.writeLoop()
	return m
}

func (m *memConn) writeLoop() {
	defer m.Conn.Close()
	for {
		select {
		case data := <-m.writes:
			if _, err := m.Conn.Write(data); err != nil {
				return
			}
		case <-m.done:
			m.flush()
			return
		}
	}
}

func (m *memConn) flush() {
	for len(m.writes) > 0 {
		if _, err := m.Conn.Write(<-m.writes); err != nil {
			return
		}
	}
}

func (m *memConn) Write(data []byte) (int, error) {
	if m.net.discardWrites.Load() {
		return len(data), nil
	}
	select {
	case m.writes <- append([]byte(nil), data...):
		return len(data), nil
	case <-m.done:
		return 0, net.ErrClosed
	}
}

func (m *memConn) Close() error {
	m.once.Do(func() { close(m.done) })
	// Reads on this end must fail at once; buffered writes have a second to complete.
	_ = m.Conn.SetReadDeadline(expiredDeadline)
	_ = m.Conn.SetWriteDeadline(time.Now().Add(time.Second))
	return nil
}

// SetDeadline and SetWriteDeadline do not apply to writes, which are buffered.
func (m *memConn) SetDeadline(at time.Time) error   { return m.Conn.SetReadDeadline(at) }
func (m *memConn) SetWriteDeadline(time.Time) error { return nil }

func (m *memConn) LocalAddr() net.Addr  { return loopback{} }
func (m *memConn) RemoteAddr() net.Addr { return loopback{} }
