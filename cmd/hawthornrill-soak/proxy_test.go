package soak

import (
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/httpresponse"
	"hawthornrill.example/hawthornrill/httpresponse/responsetest"
	"hawthornrill.example/hawthornrill/platform/platformtest"
)

// mode is the fault that a proxy applies to its connections.
type mode int

const (
	modePass mode = iota
	// modeDelayed delays each chunk by 100 ms, in both directions.
	modeDelayed
	// modeSilent drops all data without closing connections; modeSilentFromServer does so only from server to client.
	modeSilent
	modeSilentFromServer
	// modeReset resets open connections and refuses new ones.
	modeReset
	modeCount
)

var modeNames = [...]string{"pass", "delayed", "silent", "silent back", "reset"}

// newConns is what becomes of connections that are opened to a proxy.
type newConns int

const (
	newConnsPass newConns = iota
	// newConnsRefused refuses them, newConnsHang leaves their opening packets unanswered.
	newConnsRefused
	newConnsHang
)

// proxy forwards TCP connections to an address on loopback and injects faults into them.
type proxy struct {
	listener *net.TCPListener
	target   string
	closed   chan struct{}

	mu       sync.Mutex
	mode     mode
	newConns newConns
	conns    map[net.Conn]bool
	// dialled holds the times of the connections to the target, by local address. The kernel uses an address again, also at the same
	// time for another target.
	dialled map[string][]connectionTime
	// fillers are the connections that fill the listener's queue in newConnsHang.
	fillers []net.Conn
}

func newProxy(t *testing.T, target string) *proxy {
	return newProxyAt(t, platformtest.FreeAddress(), target)
}

// newProxyAt listens at an address that was chosen beforehand: it stays the listener's while that refuses connections.
func newProxyAt(t *testing.T, address, target string) *proxy {
	l, err := net.Listen("tcp4", address)
	for range 100 {
		if err == nil {
			break
		}
		time.Sleep(time.Millisecond) // another test looks whether the address is free
		l, err = net.Listen("tcp4", address)
	}
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: l.(*net.TCPListener), target: target, closed: make(chan struct{}), conns: make(map[net.Conn]bool), dialled: make(map[string][]connectionTime)}
	t.Cleanup(func() {
		close(p.closed)
		_ = l.Close()
		p.setMode(modeReset)
	})
	go p.accept()
	return p
}

// backlog is the length of the queue of a listener that accepts connections.
const backlog = 128

// setNewConns sets what becomes of connections that are opened from now on.
func (p *proxy) setNewConns(n newConns) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n == p.newConns {
		return
	}
	p.newConns = n
	switch n {
	case newConnsPass:
		p.listen(backlog)
		_ = p.listener.SetDeadline(time.Time{})
		for _, c := range p.fillers {
			_ = c.Close()
		}
		p.fillers = nil
	case newConnsRefused:
		p.control(func(fd int) error { return unix.Shutdown(fd, unix.SHUT_RDWR) })
	case newConnsHang:
		_ = p.listener.SetDeadline(time.Now()) // ends Accept
		p.listen(0)
		p.fill()
	}
}

func (p *proxy) listen(queue int) { p.control(func(fd int) error { return unix.Listen(fd, queue) }) }

func (p *proxy) control(call func(fd int) error) {
	raw, err := p.listener.SyscallConn()
	if err == nil {
		_ = raw.Control(func(fd uintptr) { _ = call(int(fd)) }) // fails only if the listener is closed
	}
}

// fill fills the listener's queue, so that the kernel drops further opening packets.
func (p *proxy) fill() {
	for {
		c, err := net.DialTimeout("tcp4", p.address(), 50*time.Millisecond)
		if err != nil {
			return
		}
		p.fillers = append(p.fillers, c)
	}
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m != modeReset {
		return
	}
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	clear(p.conns)
}

func (p *proxy) currentMode() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		select {
		case <-p.closed:
			return
		default:
		}
		if err != nil {
			time.Sleep(time.Millisecond) // new connections are refused or hang
			continue
		}
		if p.currentMode() == modeReset {
			_ = c.Close()
			continue
		}
		go p.forward(c)
	}
}

func (p *proxy) forward(client net.Conn) {
	server, err := net.Dial("tcp4", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	local, opened := server.LocalAddr().String(), time.Now()
	p.mu.Lock()
	p.conns[client], p.conns[server] = true, true
	p.dialled[local] = append(p.dialled[local], connectionTime{from: opened})
	number := len(p.dialled[local]) - 1
	p.mu.Unlock()
	go p.copy(server, client, modeSilent)
	p.copy(client, server, modeSilentFromServer)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.dialled[local][number].to = time.Now()
}

// connectionTime is the time in which a connection was open; to is zero while it is.
type connectionTime struct{ from, to time.Time }

// arrivalSlack is the time by which an arrival may be noticed before the dial of its connection has returned, or after its close.
const arrivalSlack = time.Second

// carried reports whether the proxy had a connection to its target from the local address at the time.
func (p *proxy) carried(local string, at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.dialled[local] {
		if !at.Before(c.from.Add(-arrivalSlack)) && (c.to.IsZero() || !at.After(c.to.Add(arrivalSlack))) {
			return true
		}
	}
	return false
}

// copy forwards one direction of a connection. Data read in modeSilent or silentMode is dropped, and so is everything after
// it, since the stream would have a gap. After such a loss, the end of the stream is forwarded only in modePass or modeReset. A reset
// of one side resets the other.
func (p *proxy) copy(to, from net.Conn, silentMode mode) {
	defer to.Close()
	defer from.Close()
	defer func() {
		if httpresponse.WasReset(from) || httpresponse.WasReset(to) {
			resetOnClose(to)
			resetOnClose(from)
		}
	}()
	buffer := make([]byte, 16<<10)
	lost := false
	for {
		n, err := from.Read(buffer)
		switch m := p.currentMode(); {
		case m == modeSilent || m == silentMode:
			lost = true
		case m == modeDelayed:
			time.Sleep(100 * time.Millisecond)
		}
		if !lost && n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			for lost && err == io.EOF && p.currentMode() != modeReset && p.currentMode() != modePass {
				time.Sleep(10 * time.Millisecond)
			}
			return
		}
	}
}

func resetOnClose(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if it is closed
	}
}

// Guards against a reset that its receiver takes for the end of an answer.
func TestProxyPassesResetsOn(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\n\r\npart"
	for name, test := range map[string]struct{ reset, whole bool }{"reset": {true, false}, "closed": {false, true}} {
		t.Run(name, func(t *testing.T) {
			s := responsetest.Respond(t, func(connection *net.TCPConn, _ *http.Request) {
				_, _ = io.WriteString(connection, answer)
				if test.reset {
					resetOnClose(connection)
				}
				_ = connection.Close()
			})
			p := newProxy(t, s.Address)
			for range 40 {
				connection, err := net.Dial("tcp4", p.address())
				assert.NilError(t, err)
				_, err = io.WriteString(connection, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
				assert.NilError(t, err)
				received, err := io.ReadAll(connection)
				assert.Equal(t, err == nil, test.whole, "%v", err)
				assert.Assert(t, !test.whole || string(received) == answer)
				_ = connection.Close()
			}
		})
	}
}
