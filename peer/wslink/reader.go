package wslink

import (
	"bytes"
	"context"
	"errors"
	"fmt"

	"github.com/coder/websocket"

	"hawthornrill.example/hawthornrill/peer"
)

// maxRetainedBufferBytes is the maximum size of a read buffer that a link keeps
// between frames.
const maxRetainedBufferBytes = 4 << 10

// readLoop reads and handles frames until the link ends.
func (l *link) readLoop() {
	var buffer bytes.Buffer
	for {
		f, size, err := readFrame(l.ctx, l.conn, &buffer)
		if err != nil {
			l.readFailed(err)
			return
		}
		l.markUsed()
		l.lastReceived.Store(int64(l.transport.uptime()))
		l.transport.metrics.received(size)
		if err := l.handle(f); err != nil {
			l.readFailed(err)
			return
		}
		if buffer.Cap() > maxRetainedBufferBytes {
			buffer = bytes.Buffer{}
		}
	}
}

// readFrame reads one frame into the buffer and decodes it. Errors wrap ErrProtocol if
// the remote end violated the protocol.
func readFrame(ctx context.Context, conn *websocket.Conn, buffer *bytes.Buffer) (*frame, int, error) {
	kind, reader, err := conn.Reader(ctx)
	if err != nil {
		return nil, 0, readError(err)
	}
	if kind != websocket.MessageBinary {
		return nil, 0, fmt.Errorf("%w: unexpected text message", ErrProtocol)
	}
	buffer.Reset()
	if _, err := buffer.ReadFrom(reader); err != nil {
		return nil, 0, readError(err)
	}
	f, err := decodeFrame(buffer.Bytes())
	return f, buffer.Len(), err
}

// readError wraps ErrProtocol around read errors that the remote end caused.
func readError(err error) error {
	if errors.Is(err, websocket.ErrMessageTooBig) {
		return fmt.Errorf("%w: %w", ErrProtocol, ErrTooLarge)
	}
	return err
}

// readFailed ends the link after a read error and reports it if it is a protocol
// violation.
func (l *link) readFailed(err error) {
	if errors.Is(err, ErrProtocol) {
		l.endWithViolation(err)
		return
	}
	if websocket.CloseStatus(err) == websocket.StatusNormalClosure {
		err = errFinished
	}
	l.end(err)
}

// handle processes a received frame.
func (l *link) handle(f *frame) error {
	switch f.Kind {
	case kindRequest, kindOneWay:
		return l.handleRequest(f)
	case kindReply:
		l.handleReply(f)
	case kindClose:
		l.handleClose()
	default:
		return fmt.Errorf("%w: repeated hello", ErrProtocol)
	}
	return nil
}

// handleReply passes a reply to the waiting caller. A reply without a waiting caller
// is dropped: the call has timed out or was cancelled.
func (l *link) handleReply(f *frame) {
	l.mu.Lock()
	p := l.waiting[f.ID]
	delete(l.waiting, f.ID)
	l.mu.Unlock()
	if p == nil {
		return
	}
	p.finish(result{f.Payload, replyError(f)})
	l.finishDrain()
}

// replyError returns the caller's error for a reply's code.
func replyError(f *frame) error {
	switch f.Code {
	case codeOK:
		return nil
	case codeUnknownMethod:
		return fmt.Errorf("%w: %s", peer.ErrUnknownMethod, f.Text)
	case codeRefused:
		return fmt.Errorf("%w: %s", peer.ErrNotSent, f.Text)
	default:
		return fmt.Errorf("%w: %s", peer.ErrRemote, f.Text)
	}
}
