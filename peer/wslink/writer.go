package wslink

import (
	"context"
	"errors"

	"github.com/coder/websocket"
)

// errFinished is the reason for ending a link after the closing handshake.
var errFinished = errors.New("wslink: link closed")

// writeLoop writes queued frames until the link ends.
func (l *link) writeLoop() {
	for {
		next, ok := l.queue.pop()
		switch {
		case !ok:
			if !l.waitForFrame() {
				return
			}
		case next.closeMarker:
			_ = l.conn.Close(websocket.StatusNormalClosure, "")
			l.end(errFinished)
			return
		default:
			if err := l.write(next); err != nil {
				l.end(err)
				return
			}
		}
	}
}

// waitForFrame waits until a frame may be queued. It returns false if the link has
// ended.
func (l *link) waitForFrame() bool {
	select {
	case <-l.queue.wake:
		return true
	case <-l.ctx.Done():
		l.end(context.Cause(l.ctx))
		return false
	}
}

// write writes one frame, unless its message has been abandoned.
func (l *link) write(o outgoing) error {
	if o.message != nil && !o.message.markWritten() {
		return nil
	}
	ctx, cancel := context.WithTimeout(l.ctx, l.transport.options.WriteTimeout)
	defer cancel()
	return l.conn.Write(ctx, websocket.MessageBinary, o.data)
}
