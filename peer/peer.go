// Package peer defines typed messaging between the processes of the system.
//
// A Transport delivers each message at most once and does not preserve order
// between messages. After a failed Call the remote handler may or may not have
// run, unless the error is ErrNotSent. Messages are encoded in CBOR. The
// production transport (package wslink) runs over WebSocket; the in-memory one
// (package peertest) runs under testing/synctest and can inject partitions,
// delays and pauses.
package peer

import (
	"context"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"hawthornrill.example/hawthornrill/domain"
)

var (
	// ErrNotSent means that the message certainly did not reach a handler: it was not
	// sent, or the remote end refused it.
	ErrNotSent = errors.New("peer: message not sent")
	// ErrUnreachable means that no usable reply arrived; the remote handler may have
	// run.
	ErrUnreachable = errors.New("peer: no reply")
	// ErrUnknownMethod means that the remote end has no handler for the method.
	ErrUnknownMethod = errors.New("peer: unknown method")
	// ErrRemote wraps the text of an error that the remote handler returned.
	ErrRemote = errors.New("peer: remote error")
)

// Method names a message type, in the form "package.verb".
type Method string

// Transport sends messages to other nodes.
type Transport interface {
	// Self returns the member record of this process.
	Self() domain.Member
	// Call sends payload and returns the payload of the reply. A call to this
	// process itself is served locally.
	Call(ctx context.Context, to domain.Member, method Method, payload []byte) ([]byte, error)
	// Send sends payload without waiting for delivery, which is not confirmed.
	Send(ctx context.Context, to domain.Member, method Method, payload []byte) error
	// Handle registers the handler for a method. It must be called before the
	// transport starts.
	Handle(method Method, handler Handler)
}

// Handler serves one message. The sender, from, is authenticated by the link. A nil
// payload with a nil error is an empty reply. Handlers run concurrently.
type Handler func(ctx context.Context, from domain.Member, payload []byte) ([]byte, error)

// Call encodes the request, calls the peer and decodes the reply. It returns
// ErrNotSent if the request can't be encoded and ErrUnreachable if the reply can't
// be decoded.
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

// Handle registers a typed handler. A payload that can't be decoded is answered
// with an error and is not passed to the handler.
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
