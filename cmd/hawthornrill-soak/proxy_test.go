package soak

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
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

// proxy forwards TCP connections to an address on loopback and injects faults into them.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]bool
}

func newProxy(t *testing.T, target string) *proxy {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: l, target: target, conns: make(map[net.Conn]bool)}
	t.Cleanup(func() {
		_ = l.Close()
		p.setMode(modeReset)
	})
	go p.accept()
	return p
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
		if err != nil {
			return
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
	p.mu.Lock()
	p.conns[client], p.conns[server] = true, true
	p.mu.Unlock()
	go p.copy(server, client, modeSilent)
	p.copy(client, server, modeSilentFromServer)
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
}

// copy forwards one direction of a connection. Data read in modeSilent or silentMode is dropped, and so is everything after
// it, since the stream would have a gap. After such a loss, the end of the stream is forwarded only in modePass or modeReset.
func (p *proxy) copy(to, from net.Conn, silentMode mode) {
	defer to.Close()
	defer from.Close()
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
