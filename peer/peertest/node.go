package peertest

import (
	"context"
	"fmt"
	"sync"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

// Node is the transport of one incarnation of a node.
type Node struct {
	network *Network
	self    domain.Member
	ctx     context.Context
	cancel  context.CancelFunc

	handlersMu sync.RWMutex
	handlers   map[peer.Method]peer.Handler

	// The fields below are guarded by the network's lock.
	crashed bool
	paused  bool
	// resumed is closed while the node is not paused.
	resumed chan struct{}
}

var _ peer.Transport = (*Node)(nil)

// Self implements peer.Transport.
func (n *Node) Self() domain.Member { return n.self }

// Handle implements peer.Transport.
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
	n.blockWhilePaused()
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

// ready blocks while the node is paused. It returns ErrNotSent if the context has
// ended or the node has crashed.
func (n *Node) ready(ctx context.Context) error {
	n.blockWhilePaused()
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", peer.ErrNotSent, err)
	}
	if n.ctx.Err() != nil {
		return fmt.Errorf("%w: %s has crashed", peer.ErrNotSent, n.self)
	}
	return nil
}

// callSelf serves a call of the node to itself.
func (n *Node) callSelf(ctx context.Context, method peer.Method, payload []byte) ([]byte, error) {
	reply, err := n.serve(ctx, n.self, method, payload)
	if err != nil {
		return nil, remoteError(err)
	}
	return reply, nil
}

func (n *Node) serve(ctx context.Context, from domain.Member, method peer.Method, payload []byte) ([]byte, error) {
	n.handlersMu.RLock()
	handler := n.handlers[method]
	n.handlersMu.RUnlock()
	if handler == nil {
		return nil, fmt.Errorf("%w: %s", peer.ErrUnknownMethod, method)
	}
	return handler(ctx, from, payload)
}

// blockWhilePaused blocks until the node is resumed or crashes. Like a stopped
// process, it does not react to the context of the caller.
func (n *Node) blockWhilePaused() { _ = n.awaitResumed(n.ctx) }

// awaitResumed blocks until the node is not paused, or returns the context's error.
func (n *Node) awaitResumed(ctx context.Context) error {
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
	return n.resumed, n.paused
}

// resume ends a pause. The network's lock must be held.
func (n *Node) resume() {
	if n.paused {
		n.paused = false
		close(n.resumed)
	}
}
