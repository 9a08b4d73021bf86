package answer

import (
	"context"
	"fmt"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

// MethodRead reads a batch of an answer that another node holds.
const MethodRead peer.Method = "answer.read"

// MethodEnd asks a node for the end of an answer that it holds.
const MethodEnd peer.Method = "answer.end"

// MaxReadWait limits how long a node blocks a read that finds no new data.
const MaxReadWait = 10 * time.Second

// replyTimeMargin is the time allowed for a reply in addition to the wait.
const replyTimeMargin = 5 * time.Second

// readRequest requests a batch. The key contains the organisation, which the requesting node
// derived from the caller's API key: another organisation's answer has a different key and is not
// found.
type readRequest struct {
	Key      domain.RequestKey `cbor:"1,keyasint"`
	Position Position          `cbor:"2,keyasint"`
	Wait     time.Duration     `cbor:"3,keyasint"`
}

// readStatus is the result of a read.
type readStatus uint8

const (
	readOK readStatus = iota
	readNotHeld
	readTruncated
)

// readReply carries a batch, which is empty if no data arrived within the wait.
type readReply struct {
	Status readStatus `cbor:"1,keyasint,omitempty"`
	Batch  Batch      `cbor:"2,keyasint"`
}

// Relay reads answers that other nodes hold and serves this node's answers to them. It uses long
// polling: a read returns as soon as there is data, and the next one is sent once the reader has
// consumed it, which is the only flow control.
type Relay struct {
	transport peer.Transport
	registry  *Registry
}

// NewRelay returns a relay and registers its handler with the transport.
func NewRelay(transport peer.Transport, registry *Registry) *Relay {
	r := &Relay{transport: transport, registry: registry}
	peer.Handle(transport, MethodRead, r.serve)
	peer.Handle(transport, MethodEnd, r.serveEnd)
	return r
}

// Read returns the next batch of the answer that holder has under the key. It returns an empty
// batch if no data arrived within MaxReadWait, ErrNotHeld or ErrTruncated if holder can't provide
// the data, and an error that wraps ErrHolderUnavailable if holder can't be reached or sends an
// invalid reply.
func (r *Relay) Read(ctx context.Context, holder domain.Member, key domain.RequestKey, position Position) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, MaxReadWait+replyTimeMargin)
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

// checkOrder rejects a batch with missing or repeated chunks, so that a faulty peer can't corrupt
// the answer.
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
