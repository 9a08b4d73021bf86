package wslink

import (
	"context"
	"fmt"

	"hawthornrill.example/hawthornrill/peer"
)

// handleRequest serves a request in a new goroutine, or refuses it if too many are
// being served or the transport is closing.
func (l *link) handleRequest(f *frame) error {
	l.mu.Lock()
	closed, full := l.closeReceived, l.serving >= l.transport.options.MaxOutstanding
	if !closed && !full {
		l.serving++
	}
	l.mu.Unlock()
	if closed {
		return fmt.Errorf("%w: request after close", ErrProtocol)
	}
	if full {
		l.refuse(f)
		return nil
	}
	if !l.transport.start(func() { l.serve(f) }) {
		l.finishServing()
		l.refuse(f)
	}
	return nil
}

// refuse replies that a request was refused without calling a handler.
func (l *link) refuse(f *frame) {
	l.transport.metrics.refused.Inc()
	if f.Kind == kindOneWay {
		return
	}
	l.reply(&frame{Kind: kindReply, ID: f.ID, Code: codeRefused, Text: "too many calls"})
}

// serve runs the handler and replies.
func (l *link) serve(f *frame) {
	defer l.finishServing()
	ctx, cancel := l.handlerContext(f)
	defer cancel()
	handler := l.transport.handler(f.Method)
	if handler == nil {
		l.replyTo(f, nil, fmt.Errorf("%w: %s", peer.ErrUnknownMethod, f.Method))
		return
	}
	payload, err := handler(ctx, l.remote, f.Payload)
	l.replyTo(f, payload, err)
}

func (l *link) handlerContext(f *frame) (context.Context, context.CancelFunc) {
	if left := f.timeLeft(); left > 0 {
		return context.WithTimeout(l.transport.ctx, left)
	}
	return context.WithCancel(l.transport.ctx)
}

// replyTo sends the outcome of a request. One-way messages get no reply.
func (l *link) replyTo(f *frame, payload []byte, err error) {
	if f.Kind == kindOneWay {
		return
	}
	reply := &frame{Kind: kindReply, ID: f.ID, Payload: payload}
	if err != nil {
		reply.Payload, reply.Code, reply.Text = nil, codeFor(err), err.Error()
	}
	l.reply(reply)
}

// reply queues a reply. A reply that can't be queued is replaced by an error reply; if
// that fails too, because the remote end does not read its replies, the link is ended.
func (l *link) reply(f *frame) {
	err := l.enqueue(f, nil)
	if err != nil && len(f.Payload) > 0 {
		err = l.enqueue(&frame{Kind: kindReply, ID: f.ID, Code: codeRemote, Text: err.Error()}, nil)
	}
	if err != nil && err != errDraining {
		l.end(err)
	}
}

// finishServing records that a request is no longer being served.
func (l *link) finishServing() {
	l.mu.Lock()
	l.serving--
	l.mu.Unlock()
	l.finishDrain()
}
