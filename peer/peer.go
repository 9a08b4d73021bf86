// Package peer carries typed messages between the system's own processes.
//
// A Transport promises at most one delivery of each message and no order
// between messages. A failed Call may or may not have been carried out by the
// other side, unless the error is ErrNotSent. Messages are CBOR; the
// production transport runs over WebSocket, the in-memory one (package
// peertest) runs under testing/synctest and can be cut, delayed and paused.
package peer

import (
	"context"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"hawthornrill.example/hawthornrill/domain"
)

var (
	// ErrNotSent means that the message did not leave this process.
	ErrNotSent = errors.New("peer: message not sent")
	// ErrUnreachable means that no reply came; the other side may have acted.
	ErrUnreachable = errors.New("peer: no reply")
	// ErrUnknownMethod means that the other side has no handler for the method.
	ErrUnknownMethod = errors.New("peer: unknown method")
	// ErrRemote wraps an error text that the other side's handler returned.
	ErrRemote = errors.New("peer: remote error")
)

// Method names a kind of message, "package.verb".
type Method string

// Transport sends messages to other nodes.
type Transport interface {
	// Self returns this process's own member record.
	Self() domain.Member
	// Call sends payload and waits for the reply's payload. A call to oneself is
	// served locally.
	Call(ctx context.Context, to domain.Member, method Method, payload []byte) ([]byte, error)
	// Send sends payload without waiting; delivery is not confirmed.
	Send(ctx context.Context, to domain.Member, method Method, payload []byte) error
	// Handle registers the handler of a method. It must be called before the
	// transport starts.
	Handle(method Method, handler Handler)
}

// Handler serves one message. The from member is authenticated by the link. A
// nil payload with a nil error is an empty reply. Handlers run concurrently.
type Handler func(ctx context.Context, from domain.Member, payload []byte) ([]byte, error)

// Call encodes the request, calls the peer and decodes its reply.
func Call[Request, Reply any](ctx context.Context, t Transport, to domain.Member, method Method, request Request) (Reply, error) {
	var reply Reply
	payload, err := cbor.Marshal(request)
	if err != nil {
		return reply, fmt.Errorf("%w: encode %s: %w", ErrNotSent, method, err)
	}
	answer, err := t.Call(ctx, to, method, payload)
	if err != nil {
		return reply, err
	}
	if err := cbor.Unmarshal(answer, &reply); err != nil {
		return reply, fmt.Errorf("%w: decode %s: %w", ErrUnreachable, method, err)
	}
	return reply, nil
}

// Send encodes the message and sends it without waiting for a reply.
func Send[Message any](ctx context.Context, t Transport, to domain.Member, method Method, message Message) error {
	payload, err := cbor.Marshal(message)
	if err != nil {
		return fmt.Errorf("%w: encode %s: %w", ErrNotSent, method, err)
	}
	return t.Send(ctx, to, method, payload)
}

// Handle registers a typed handler. A payload that does not decode is answered
// with an error and never reaches the handler.
func Handle[Request, Reply any](t Transport, method Method, serve func(ctx context.Context, from domain.Member, request Request) (Reply, error)) {
	t.Handle(method, func(ctx context.Context, from domain.Member, payload []byte) ([]byte, error) {
		var request Request
		if err := cbor.Unmarshal(payload, &request); err != nil {
			return nil, fmt.Errorf("peer: decode %s: %w", method, err)
		}
		reply, err := serve(ctx, from, request)
		if err != nil {
			return nil, err
		}
		return cbor.Marshal(reply)
	})
}
