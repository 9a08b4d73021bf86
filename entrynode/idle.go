package entrynode

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"hawthornrill.example/hawthornrill/pacing"
)

// idleConns closes callers' connections that have been idle for longer than the configuration in force allows.
type idleConns struct {
	limit func() time.Duration

	mu    sync.Mutex
	since map[net.Conn]time.Time
}

func newIdleConns(limit func() time.Duration) *idleConns {
	return &idleConns{limit: limit, since: make(map[net.Conn]time.Time)}
}

// observe is an http.Server's ConnState.
func (i *idleConns) observe(c net.Conn, state http.ConnState) {
	if caller, ok := c.(*callerConn); ok {
		caller.observe(state)
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if state == http.StateIdle {
		i.since[c] = time.Now()
		return
	}
	delete(i.since, c)
}

// run closes what has been idle for too long, until the context ends.
func (i *idleConns) run(ctx context.Context) error { return pacing.Every(ctx, idleSweep, i.sweep) }

func (i *idleConns) sweep() {
	limit := i.limit()
	if limit <= 0 {
		return
	}
	now := time.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	for c, since := range i.since {
		if now.Sub(since) > limit+idleSlack {
			delete(i.since, c)
			closeQuiet(c)
		}
	}
}

// closeQuiet closes an idle connection; its caller may have closed it already.
func closeQuiet(c net.Conn) {
	if caller, ok := c.(*callerConn); ok {
		_ = caller.closeIfQuiet()
		return
	}
	_ = c.Close()
}
