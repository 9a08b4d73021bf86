package peertest

import (
	"context"
	"fmt"
	"sync"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

// Node is one life's transport.
type Node struct {
	network *Network
	self    domain.Member
	ctx     context.Context
	cancel  context.CancelFunc

	handlersMu sync.RWMutex
	handlers   map[peer.Method]peer.Handler

	// The rest is guarded by the network's lock.
	crashed bool
	paused  bool
	// awake is closed while the node is not paused.
	awake chan struct{}
}

var _ peer.Transport = (*Node)(nil)

// Self returns the member record.
func (n *Node) Self() domain.Member { return n.self }

// Handle registers the handler of a method.
func (n *Node) Handle(method peer.Method, handler peer.Handler) {
	n.handlersMu.Lock()
	defer n.handlersMu.Unlock()
	n.handlers[method] = handler
}

// Call implements peer.Transport.
func (n *Node) Call(ctx context.Context, to domain.Member, method peer.Method, payload []byte) ([]byte, error) {
	if err := n.ready(ctx); err != nil {
		return nil, err
	}
	if to.Node == n.self.Node && (to.Incarnation == 0 || to.Incarnation == n.self.Incarnation) {
		return n.callSelf(ctx, method, payload)
	}
	exchange := newExchange(n, to, method, payload)
	reply, err := exchange.call(ctx)
	n.holdWhilePaused()
	return reply, err
}

// Send implements peer.Transport. It returns an error only if this node has
// crashed or the context has ended.
func (n *Node) Send(ctx context.Context, to domain.Member, method peer.Method, payload []byte) error {
	if err := n.ready(ctx); err != nil {
		return err
	}
	if to.Node == n.self.Node {
		n.network.start(func() { _, _ = n.serve(n.ctx, n.self, method, payload) })
		return nil
	}
	exchange := newExchange(n, to, method, payload)
	exchange.oneWay = true
	n.network.start(func() { exchange.deliver(n.ctx) })
	return nil
}

// ready waits while the node is paused and refuses to send for a dead one.
func (n *Node) ready(ctx context.Context) error {
	n.holdWhilePaused()
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", peer.ErrNotSent, err)
	}
	if n.ctx.Err() != nil {
		return fmt.Errorf("%w: %s has crashed", peer.ErrNotSent, n.self)
	}
	return nil
}

// callSelf serves a call to oneself.
func (n *Node) callSelf(ctx context.Context, method peer.Method, payload []byte) ([]byte, error) {
	reply, err := n.serve(ctx, n.self, method, payload)
	if err != nil {
		return nil, remoteError(err)
	}
	return reply, nil
}

// serve runs the handler of a method.
func (n *Node) serve(ctx context.Context, from domain.Member, method peer.Method, payload []byte) ([]byte, error) {
	n.handlersMu.RLock()
	handler := n.handlers[method]
	n.handlersMu.RUnlock()
	if handler == nil {
		return nil, fmt.Errorf("%w: %s", peer.ErrUnknownMethod, method)
	}
	return handler(ctx, from, payload)
}

// holdWhilePaused blocks like a stopped process: no context ends it but the
// node's own.
func (n *Node) holdWhilePaused() { _ = n.awaitAwake(n.ctx) }

// awaitAwake returns when the node is not paused, or with the context's error.
func (n *Node) awaitAwake(ctx context.Context) error {
	for {
		awake, paused := n.pauseState()
		if !paused {
			return nil
		}
		select {
		case <-awake:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (n *Node) pauseState() (<-chan struct{}, bool) {
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	return n.awake, n.paused
}

// wake ends a pause. The network's lock is held.
func (n *Node) wake() {
	if n.paused {
		n.paused = false
		close(n.awake)
	}
}
