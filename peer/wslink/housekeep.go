package wslink

import (
	"context"
	"fmt"
	"time"
)

const (
	// housekeepingInterval is how often links are looked at.
	housekeepingInterval = time.Second
	// drainTimeout is how long a link on which nothing is outstanding may take to
	// close by agreement.
	drainTimeout = 30 * time.Second
)

// housekeep closes idle links, pings silent ones and forgets nodes that are not
// talked to, until the transport closes.
func (t *Transport) housekeep() {
	ticker := time.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			t.tendLinks()
			t.forgetRemotes()
		case <-t.ctx.Done():
			return
		}
	}
}

func (t *Transport) tendLinks() {
	for _, l := range t.links() {
		switch t.dueFor(l, t.uptime()) {
		case dueDrain:
			l.drain()
		case dueEnd:
			l.end(fmt.Errorf("%w: not closed in time", ErrPingTimeout))
		case duePing:
			t.ping(l)
		}
	}
}

// due is what a link needs next.
type due uint8

const (
	dueNothing due = iota
	dueDrain
	dueEnd
	duePing
)

// dueFor decides what a link needs at the given time.
func (t *Transport) dueFor(l *link, now time.Duration) due {
	waiting, serving := l.outstanding()
	quiet := waiting == 0 && serving == 0
	switch {
	case quiet && l.drainFor() > drainTimeout:
		return dueEnd
	case quiet && l.open() && now-time.Duration(l.lastUsed.Load()) >= t.options.IdleTimeout:
		return dueDrain
	case waiting > 0 && now-time.Duration(l.lastReceived.Load()) >= t.options.PingInterval:
		return duePing
	default:
		return dueNothing
	}
}

// ping asks for a sign of life, one at a time, and ends the link if there is none.
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

// forgetRemotes drops the state of nodes that are neither linked nor dialled.
func (t *Transport) forgetRemotes() {
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

// idle reports whether nothing is lost by forgetting the node.
func (r *remote) idle(now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.links) == 0 && r.dialing == nil && now >= r.retryAt+forgetAfter
}

// forgetAfter is how long a failed dial is remembered beyond its backoff.
const forgetAfter = time.Minute
