package node

import (
	"context"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
	"hawthornrill.example/hawthornrill/store"
)

// Names of events other than peer messages. Events of peer messages are named by the
// method before the call, and by the method with a suffix after the call and when a
// message is received.
const (
	eventStart  = "engine.start"
	eventToken  = "engine.token"
	eventGet    = "store.get"
	eventSwap   = "store.swap"
	eventWrite  = "caller.write"
	suffixAfter = " done"
	suffixServe = " served"
)

// event is an operation that a node is about to perform, or one whose result it has
// received.
type event struct {
	node domain.NodeID
	name string
	// to is the other node of a peer message. key is the request key of an engine or
	// caller event, or the key of a store event.
	to     domain.NodeID
	key    string
	offset uint64
}

// emit passes an event to the observer.
func (c *cluster) emit(e event) {
	if f := c.observe.Load(); f != nil {
		(*f)(e)
	}
}

// observedTransport reports the messages that a node sends and receives to the cluster.
type observedTransport struct {
	peer.Transport
	c *cluster
}

func (t observedTransport) emit(to domain.NodeID, name string) {
	t.c.emit(event{node: t.Self().Node, name: name, to: to})
}

func (t observedTransport) Call(ctx context.Context, to domain.Member, method peer.Method, payload []byte) ([]byte, error) {
	t.emit(to.Node, string(method))
	reply, err := t.Transport.Call(ctx, to, method, payload)
	t.emit(to.Node, string(method)+suffixAfter)
	return reply, err
}

func (t observedTransport) Send(ctx context.Context, to domain.Member, method peer.Method, payload []byte) error {
	t.emit(to.Node, string(method))
	return t.Transport.Send(ctx, to, method, payload)
}

func (t observedTransport) Handle(method peer.Method, handler peer.Handler) {
	t.Transport.Handle(method, func(ctx context.Context, from domain.Member, payload []byte) ([]byte, error) {
		t.emit(from.Node, string(method)+suffixServe)
		return handler(ctx, from, payload)
	})
}

// gatedStore is the store called through the gate of a node: a crashed node writes
// nothing more, and the calls of a paused one wait until it resumes.
type gatedStore struct {
	store.Store
	gate *gate
}

// pass waits while the node is paused, and returns an error if it has crashed.
func (s gatedStore) pass(ctx context.Context) error {
	if s.gate.pass(ctx) != nil {
		return store.ErrUnavailable
	}
	return nil
}

// gatedCall makes a call through the gate: while the node is paused, neither the call
// is sent nor its result returned.
func gatedCall[T any](ctx context.Context, s gatedStore, call func() (T, error)) (T, error) {
	var none T
	if err := s.pass(ctx); err != nil {
		return none, err
	}
	result, err := call()
	if s.pass(context.WithoutCancel(ctx)) != nil {
		return none, store.ErrUnknownOutcome
	}
	return result, err
}

func (s gatedStore) Get(ctx context.Context, key string) (store.Entry, error) {
	s.gate.observe(eventGet, key, 0)
	entry, err := gatedCall(ctx, s, func() (store.Entry, error) { return s.Store.Get(ctx, key) })
	s.gate.observe(eventGet+suffixAfter, key, 0)
	return entry, err
}

func (s gatedStore) List(ctx context.Context, prefix string) ([]store.Entry, error) {
	return gatedCall(ctx, s, func() ([]store.Entry, error) { return s.Store.List(ctx, prefix) })
}

func (s gatedStore) CompareAndSwap(ctx context.Context, key string, expected store.Revision, value []byte, lease store.LeaseID) (store.Revision, error) {
	s.gate.observe(eventSwap, key, 0)
	revision, err := gatedCall(ctx, s, func() (store.Revision, error) {
		return s.Store.CompareAndSwap(ctx, key, expected, value, lease)
	})
	s.gate.observe(eventSwap+suffixAfter, key, 0)
	return revision, err
}

func (s gatedStore) Delete(ctx context.Context, key string, expected store.Revision) error {
	_, err := gatedCall(ctx, s, func() (struct{}, error) { return struct{}{}, s.Store.Delete(ctx, key, expected) })
	return err
}

func (s gatedStore) Watch(ctx context.Context, key string, after store.Revision) (store.Entry, error) {
	return gatedCall(ctx, s, func() (store.Entry, error) { return s.Store.Watch(ctx, key, after) })
}

func (s gatedStore) GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	return gatedCall(ctx, s, func() (store.LeaseID, error) { return s.Store.GrantLease(ctx, ttl) })
}
