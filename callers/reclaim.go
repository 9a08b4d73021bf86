package callers

import (
	"slices"
	"time"
)

// need is what connections are closed for.
type need int

const (
	// memory is held by requests that have begun, room for connections by all of them.
	memory need = iota
	connections
)

// idleConn is a connection that has been idle for some time.
type idleConn struct {
	*conn
	since time.Time
}

// reclaim closes connections whose callers hold back others: those with a head, or a body, that arrives too slowly. If there are none and
// connections are needed, it closes some that have been idle for longest. It does nothing within reclaimInterval after the last time.
func (l *Listener) reclaim(n need) {
	if !l.reclaiming.TryLock() {
		return
	}
	defer l.reclaiming.Unlock()
	now := time.Now()
	if now.Sub(l.reclaimedAt) < reclaimInterval {
		return
	}
	l.reclaimedAt = now
	var idle []idleConn
	closed := 0
	for _, c := range l.openConns() {
		if c.closeIfSlow(now, n) {
			closed++
		} else if since := c.idleTime(); !since.IsZero() && now.Sub(since) >= slowAfter {
			idle = append(idle, idleConn{c, since})
		}
	}
	l.refused(reasonSlow, closed)
	if closed == 0 && n == connections {
		l.closeIdlest(idle)
	}
}

// closeIdlest closes a part of the connections, those that have been idle for longest.
func (l *Listener) closeIdlest(idle []idleConn) {
	slices.SortFunc(idle, func(a, b idleConn) int { return a.since.Compare(b.since) })
	closed := 0
	for _, c := range idle[:(len(idle)+idlePart-1)/idlePart] {
		if c.endUnused() {
			closed++
		}
	}
	l.refused(reasonIdle, closed)
}

// idleTime is when the last request on an idle connection ended, zero if it is not idle or has had none.
func (c *conn) idleTime() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle || c.requestStarted {
		return time.Time{}
	}
	return c.idleSince
}

// closeIfSlow closes the connection if its caller sends too slowly, and reports whether it did. A request whose body is being read is
// refused by its reader.
func (c *conn) closeIfSlow(now time.Time, n need) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed || !c.finalSentAt.IsZero():
		return false
	case c.headIsSlow(now):
		c.refuse(c.listener.heads.Refusals.TooSlow)
	case c.nextIsSlow(now, n):
		c.refuse(c.listener.finalResponse)
	case c.bodyIsSlow(now):
		c.bodyEvicted = true
	default:
		return false
	}
	_ = c.Conn.SetReadDeadline(time.Now()) // ends a read in progress; a connection takes deadlines
	return true
}

func (c *conn) headIsSlow(now time.Time) bool {
	return c.idle && c.requestStarted && now.Sub(c.headSince) >= slowAfter
}

// nextIsSlow reports whether no request has come on a connection that holds memory for it, or that has had none. The mutex must be held.
func (c *conn) nextIsSlow(now time.Time, n need) bool {
	if !c.idle || c.requestStarted || c.hasUnread() {
		return false
	}
	if c.idleSince.IsZero() {
		return n == connections && now.Sub(c.accepted) >= slowAfter
	}
	return c.held.Bytes() > 0 && now.Sub(c.idleSince) >= slowAfter
}

// EndBodies ends the reading of bodies, so that requests that have not arrived get a final response. It is for a process that exits.
func (l *Listener) EndBodies() (ended int) {
	for _, c := range l.openConns() {
		if c.endBody() {
			ended++
		}
	}
	return ended
}

func (c *conn) endBody() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.bodySince.IsZero() {
		return false
	}
	c.bodyEvicted = true
	_ = c.Conn.SetReadDeadline(time.Now()) // ends a read in progress; a connection takes deadlines
	return true
}

func (c *conn) bodyIsSlow(now time.Time) bool {
	if c.bodySince.IsZero() || c.bodyEvicted {
		return false
	}
	elapsed := now.Sub(c.bodySince)
	return elapsed >= slowAfter && float64(c.bodyRead) < minBodyRate*elapsed.Seconds()
}
