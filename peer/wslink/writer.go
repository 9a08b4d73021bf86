package wslink

import (
	"context"
	"errors"

	"github.com/coder/websocket"
)

// errFinished ends a link that both ends agreed to close.
var errFinished = errors.New("wslink: link closed")

// writeLoop writes queued frames until the link ends.
func (l *link) writeLoop() {
	for {
		next, ok := l.queue.pop()
		switch {
		case !ok:
			if !l.awaitFrame() {
				return
			}
		case next.last:
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

// awaitFrame waits for something to write. It returns false when the link ended.
func (l *link) awaitFrame() bool {
	select {
	case <-l.queue.wake:
		return true
	case <-l.ctx.Done():
		l.end(context.Cause(l.ctx))
		return false
	}
}

// write writes one frame, unless it has been abandoned.
func (l *link) write(o outgoing) error {
	if o.message != nil && !o.message.markWritten() {
		return nil
	}
	ctx, cancel := context.WithTimeout(l.ctx, l.transport.options.WriteTimeout)
	defer cancel()
	return l.conn.Write(ctx, websocket.MessageBinary, o.data)
}
