package callers

import (
	"net"
	"time"

	"hawthornrill.example/hawthornrill/bytebudget"
)

// reason is why a connection was closed, or a request refused, before the request was read.
type reason int

const (
	reasonTooLong reason = iota
	reasonNoRoom
	reasonSlow
	reasonIdle
	reasons
)

// Refusals counts the connections that were closed, and the requests that were refused, before the request was read.
type Refusals struct {
	// TooLong is for heads over the limit, NoRoom for heads without room in the budget, Slow for heads and bodies that arrived too slowly,
	// Idle for idle connections that were closed for others.
	TooLong, NoRoom, Slow, Idle int64
}

func (l *Listener) refused(r reason, n int) { l.refusals[r].Add(int64(n)) }

// TakeRefusals returns the refusals since the last call.
func (l *Listener) TakeRefusals() Refusals {
	return Refusals{
		TooLong: l.refusals[reasonTooLong].Swap(0), NoRoom: l.refusals[reasonNoRoom].Swap(0),
		Slow: l.refusals[reasonSlow].Swap(0), Idle: l.refusals[reasonIdle].Swap(0),
	}
}

// CloseSlowHeads refuses the requests whose heads have not arrived in time, and closes connections without a request for longer than
// unused; 0 means no limit.
func (l *Listener) CloseSlowHeads(unused time.Duration) {
	timeout := time.Duration(0)
	if l.heads.Timeout != nil {
		timeout = l.heads.Timeout()
	}
	if timeout <= 0 {
		timeout = defaultHeadTimeout
	}
	now, closed := time.Now(), 0
	for _, c := range l.openConns() {
		if c.refuseSlowHead(now.Add(-timeout)) {
			closed++
		}
		if unused > 0 && c.neverUsed(now.Add(-unused-idleTimeoutMargin)) {
			c.endUnused()
		}
	}
	l.refused(reasonSlow, closed)
}

// neverUsed reports whether the connection was accepted before the given time and has had no request.
func (c *conn) neverUsed(before time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idle && c.idleSince.IsZero() && c.accepted.Before(before)
}

// refuseSlowHead refuses the request if the first byte of its head arrived before the given time.
func (c *conn) refuseSlowHead(before time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.refused || !c.idle || !c.requestStarted || !c.headSince.Before(before) {
		return false
	}
	c.refuse(c.listener.heads.Refusals.TooSlow)
	_ = c.Conn.SetReadDeadline(time.Now()) // ends a read in progress; a connection takes deadlines
	return true
}

// endUnused closes the connection if nothing of a request has arrived, and reports whether it did.
func (c *conn) endUnused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || !c.finalSentAt.IsZero() || !c.idle || c.requestStarted || c.hasUnread() {
		return false
	}
	c.refuse(c.listener.finalResponse)
	_ = c.Conn.SetReadDeadline(time.Now()) // as above
	return true
}

// refuse sends a response and the end of the connection to a caller whose request is not read on. Reads fail from then on, and the
// connection is closed once the caller has had time to read the response. The mutex must be held.
func (c *conn) refuse(response []byte) {
	c.refused, c.finalSentAt = true, time.Now()
	if c.socket != nil {
		_ = c.socket.Control(func(fd uintptr) { sendEnd(int(fd), response) }) // fails if the connection is closed
	}
}

// errRefused is returned by reads of a connection whose request was refused, errNoRoom if that was for want of room. net/http closes the
// connection after a failed read without a response of its own.
var (
	errRefused = &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}
	errNoRoom  = &net.OpError{Op: "read", Net: "tcp", Err: bytebudget.ErrNoRoom}
)
