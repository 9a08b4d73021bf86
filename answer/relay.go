package answer

import (
	"context"
	"fmt"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

// MethodRead reads a batch of another node's answer.
const MethodRead peer.Method = "answer.read"

// MaxReadWait bounds how long a node holds a read that finds nothing new.
const MaxReadWait = 10 * time.Second

// replyMargin is the time a reply may take beyond the wait.
const replyMargin = 5 * time.Second

// readRequest asks for a batch. The key contains the organisation, which the
// asking node took from the caller's API key: another organisation's answer has
// another key and is not found.
type readRequest struct {
	Key      domain.RequestKey `cbor:"1,keyasint"`
	Position Position          `cbor:"2,keyasint"`
	Wait     time.Duration     `cbor:"3,keyasint"`
}

// readStatus tells how a read went.
type readStatus uint8

const (
	readOK readStatus = iota
	readNotHeld
	readTruncated
)

// readReply carries a batch, empty when nothing came within the wait.
type readReply struct {
	Status readStatus `cbor:"1,keyasint,omitempty"`
	Batch  Batch      `cbor:"2,keyasint"`
}

// Relay reads answers that other nodes hold and serves this node's to them. A
// read is answered as soon as there is something; the next one is sent when the
// reader has taken that, which is all the flow control there is.
type Relay struct {
	transport peer.Transport
	registry  *Registry
}

// NewRelay returns a relay and registers its handler with the transport.
func NewRelay(transport peer.Transport, registry *Registry) *Relay {
	r := &Relay{transport: transport, registry: registry}
	peer.Handle(transport, MethodRead, r.serve)
	return r
}

// Read returns the next batch of the answer that holder has under the key. It
// returns an empty batch when nothing came for a while, ErrNotHeld or
// ErrTruncated when holder can't give it, and an error that wraps ErrHolderUnavailable when
// holder can't be asked.
func (r *Relay) Read(ctx context.Context, holder domain.Member, key domain.RequestKey, position Position) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, MaxReadWait+replyMargin)
	defer cancel()
	request := readRequest{Key: key, Position: position, Wait: MaxReadWait}
	reply, err := peer.Call[readRequest, readReply](ctx, r.transport, holder, MethodRead, request)
	if err != nil {
		return Batch{}, fmt.Errorf("%w: %s: %w", ErrHolderUnavailable, holder, err)
	}
	switch reply.Status {
	case readNotHeld:
		return Batch{}, ErrNotHeld
	case readTruncated:
		return Batch{}, ErrTruncated
	}
	if err := checkOrder(reply.Batch, position); err != nil {
		return Batch{}, err
	}
	return reply.Batch, nil
}

// checkOrder makes sure that a faulty peer can't tear an answer.
func checkOrder(batch Batch, position Position) error {
	for i, chunk := range batch.Chunks {
		if want := position.From + uint64(i); chunk.Sequence != want {
			return fmt.Errorf("%w: %w: got %d, want %d", ErrHolderUnavailable, ErrGap, chunk.Sequence, want)
		}
	}
	return nil
}

func (r *Relay) serve(ctx context.Context, _ domain.Member, request readRequest) (readReply, error) {
	buffer, ok := r.registry.Get(request.Key)
	if !ok {
		return readReply{Status: readNotHeld}, nil
	}
	buffer.Readers.Attach()
	defer buffer.Readers.Detach()
	ctx, cancel := context.WithTimeout(ctx, min(request.Wait, MaxReadWait))
	defer cancel()
	batch, err := buffer.Read(ctx, request.Position)
	switch {
	case err == nil:
		return readReply{Batch: batch}, nil
	case err == ErrTruncated:
		return readReply{Status: readTruncated}, nil
	default:
		return readReply{}, nil
	}
}
