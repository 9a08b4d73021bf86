package soak

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// mode is how a proxy treats its connections.
type mode int

const (
	pass mode = iota
	// delayed adds a tenth of a second to each read from the client.
	delayed
	// silent carries nothing and closes nothing, one way or both.
	silent
	silentBack
	// reset ends connections and refuses new ones.
	reset
	modes
)

var modeNames = [...]string{"pass", "delayed", "silent", "silent back", "reset"}

// proxy carries TCP connections to an address on loopback.
type proxy struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]bool
}

func newProxy(t *testing.T, to string) *proxy {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: l, to: to, conns: make(map[net.Conn]bool)}
	t.Cleanup(func() {
		_ = l.Close()
		p.set(reset)
	})
	go p.accept()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m != reset {
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

func (p *proxy) now() mode {
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
		if p.now() == reset {
			_ = c.Close()
			continue
		}
		go p.carry(c)
	}
}

func (p *proxy) carry(client net.Conn) {
	server, err := net.Dial("tcp4", p.to)
	if err != nil {
		_ = client.Close()
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = true, true
	p.mu.Unlock()
	go p.copy(server, client, silent)
	p.copy(client, server, silentBack)
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
}

// copy carries one way; while the proxy is silent, or silent this way, what comes in is held and then lost.
func (p *proxy) copy(to, from net.Conn, oneWay mode) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 16<<10)
	lost := false
	for {
		n, err := from.Read(buffer)
		switch m := p.now(); {
		case m == silent || m == oneWay:
			lost = true
		case m == delayed:
			time.Sleep(100 * time.Millisecond)
		}
		if !lost && n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			for lost && err == io.EOF && p.now() != reset && p.now() != pass {
				time.Sleep(10 * time.Millisecond)
			}
			return
		}
	}
}
