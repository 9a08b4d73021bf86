package wslink

import (
	"context"
	"fmt"
	"time"
)

const (
	// maintenanceInterval is the interval at which links are checked.
	maintenanceInterval = time.Second
	// drainTimeout limits the closing handshake of a link without outstanding calls.
	drainTimeout = 30 * time.Second
)

// maintenanceLoop closes idle links, pings links whose calls get no reply and evicts
// the state of unused nodes, until the transport closes.
func (t *Transport) maintenanceLoop() {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			t.maintainLinks()
			t.evictRemotes()
		case <-t.ctx.Done():
			return
		}
	}
}

func (t *Transport) maintainLinks() {
	for _, l := range t.links() {
		switch t.actionFor(l, t.uptime()) {
		case actionDrain:
			l.drain()
		case actionEnd:
			l.end(fmt.Errorf("%w: closing handshake timed out", ErrPingTimeout))
		case actionPing:
			t.ping(l)
		}
	}
}

// linkAction is a maintenance action on a link.
type linkAction uint8

const (
	actionNone linkAction = iota
	actionDrain
	actionEnd
	actionPing
)

// actionFor returns the maintenance action that a link needs at the given time.
func (t *Transport) actionFor(l *link, now time.Duration) linkAction {
	waiting, serving := l.outstanding()
	noCalls := waiting == 0 && serving == 0
	switch {
	case noCalls && l.drainFor() > drainTimeout:
		return actionEnd
	case noCalls && l.open() && now-time.Duration(l.lastUsed.Load()) >= t.options.IdleTimeout:
		return actionDrain
	case waiting > 0 && now-time.Duration(l.lastReceived.Load()) >= t.options.PingInterval:
		return actionPing
	default:
		return actionNone
	}
}

// ping pings the remote end, unless a ping is in progress, and ends the link if it is
// not answered in time.
func (t *Transport) ping(l *link) {
	if !l.pinging.CompareAndSwap(false, true) {
		return
	}
	t.start(func() {
		defer l.pinging.Store(false)
		ctx, cancel := context.WithTimeout(l.ctx, t.options.PingTimeout)
		defer cancel()
		if err := l.conn.Ping(ctx); err != nil {
			l.end(fmt.Errorf("%w: %w", ErrPingTimeout, err))
			return
		}
		l.lastReceived.Store(int64(t.uptime()))
	})
}

// evictRemotes removes the state of nodes that have no link, no dial in progress and
// no recent failed dial.
func (t *Transport) evictRemotes() {
	for _, r := range t.allRemotes() {
		if !r.idle(t.uptime()) {
			continue
		}
		t.mu.Lock()
		if t.remotes[r.node] == r {
			delete(t.remotes, r.node)
		}
		t.mu.Unlock()
	}
}

// idle reports whether the state of the node can be removed.
func (r *remote) idle(now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.links) == 0 && r.dialing == nil && now >= r.retryAt+remoteRetention
}

// remoteRetention is how long the state of a failed dial is kept after its backoff.
const remoteRetention = time.Minute
