package peertest

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/pacing"
	"hawthornrill.example/hawthornrill/peer"
)

// result is the outcome of a call.
type result struct {
	payload []byte
	err     error
}

// exchange is one request and its reply.
type exchange struct {
	network *Network
	from    *Node
	to      domain.Member
	method  peer.Method
	payload []byte
	oneWay  bool
	// timeLeft is the time until the caller's deadline; zero for no deadline.
	timeLeft time.Duration
	// done receives the first result; later ones are dropped.
	done chan result
	// lost receives a value when a message of the exchange is lost.
	lost chan struct{}
}

func newExchange(from *Node, to domain.Member, method peer.Method, payload []byte) *exchange {
	return &exchange{
		network: from.network,
		from:    from,
		to:      to,
		method:  method,
		payload: bytes.Clone(payload),
		done:    make(chan result, 1),
		lost:    make(chan struct{}, 1),
	}
}

func (e *exchange) call(ctx context.Context) ([]byte, error) {
	if deadline, ok := ctx.Deadline(); ok {
		e.timeLeft = time.Until(deadline)
	}
	if !e.network.start(func() { e.deliver(e.from.ctx) }) {
		return nil, fmt.Errorf("%w: network closed", peer.ErrNotSent)
	}
	return e.await(ctx)
}

// await returns the reply. It returns ErrUnreachable when the context ends, when
// the calling node crashes, or when no reply has been possible for the network's
// timeout.
func (e *exchange) await(ctx context.Context) ([]byte, error) {
	var lost bool
	var timedOut <-chan time.Time
	for {
		changed, broken, timeout := e.linkState()
		switch {
		case !lost && !broken:
			timedOut = nil
		case timedOut == nil:
			timedOut = time.After(timeout)
		}
		select {
		case r := <-e.done:
			return r.payload, r.err
		case <-e.lost:
			lost = true
		case <-changed:
		case <-timedOut:
			return nil, fmt.Errorf("%w: %s from %s: timeout", peer.ErrUnreachable, e.method, e.to)
		case <-ctx.Done():
			return nil, fmt.Errorf("%w: %s from %s: %w", peer.ErrUnreachable, e.method, e.to, ctx.Err())
		case <-e.from.ctx.Done():
			return nil, fmt.Errorf("%w: %s has crashed", peer.ErrUnreachable, e.from.self)
		}
	}
}

// linkState reports whether the current faults make a reply impossible, and
// returns a channel that is closed when the faults change.
func (e *exchange) linkState() (changed <-chan struct{}, broken bool, timeout time.Duration) {
	n := e.network
	n.mu.Lock()
	defer n.mu.Unlock()
	target := n.find(e.to)
	broken = target == nil || target.paused ||
		n.cuts[link{e.from.self.Node, e.to.Node}] || n.cuts[link{e.to.Node, e.from.self.Node}]
	return n.changed, broken, n.timeout
}

// deliver passes the request to its handler, twice if the interceptor asks for a
// duplicate.
func (e *exchange) deliver(ctx context.Context) {
	action, delay := e.network.transmit(e.from.self, e.to, e.method, false, len(e.payload))
	if !action.Drop && !pacing.Sleep(ctx, delay) {
		return
	}
	if action.Drop || e.network.isCut(e.from.self.Node, e.to.Node) {
		e.markLost()
		return
	}
	target, err := e.network.target(e.to)
	if err != nil {
		e.reply(ctx, e.to, result{err: err})
		return
	}
	if target == nil {
		e.markLost()
		return
	}
	if action.Duplicate {
		e.network.start(func() { e.serveAt(target) })
	}
	e.serveAt(target)
}

// serveAt runs the handler on the target node and delivers its reply.
func (e *exchange) serveAt(target *Node) {
	if target.awaitResumed(target.ctx) != nil {
		return
	}
	ctx, cancel := e.handlerContext(target)
	defer cancel()
	payload, err := target.serve(ctx, e.from.self, e.method, e.payload)
	if e.oneWay {
		return
	}
	target.blockWhilePaused()
	if err != nil {
		err = remoteError(err)
	}
	e.reply(target.ctx, target.self, result{bytes.Clone(payload), err})
}

func (e *exchange) handlerContext(target *Node) (context.Context, context.CancelFunc) {
	if e.timeLeft > 0 {
		return context.WithTimeout(target.ctx, e.timeLeft)
	}
	return context.WithCancel(target.ctx)
}

// reply delivers a result to the caller, unless the replying node crashes before
// the result arrives.
func (e *exchange) reply(ctx context.Context, from domain.Member, r result) {
	if e.oneWay {
		return
	}
	action, delay := e.network.transmit(from, e.from.self, e.method, true, len(r.payload))
	if !action.Drop && !pacing.Sleep(ctx, delay) {
		return
	}
	if action.Drop || ctx.Err() != nil || e.network.isCut(from.Node, e.from.self.Node) {
		e.markLost()
		return
	}
	select {
	case e.done <- r:
	default:
	}
}

// markLost notifies the waiting caller that a message of the exchange was lost.
func (e *exchange) markLost() {
	select {
	case e.lost <- struct{}{}:
	default:
	}
}

// remoteError converts a handler's error into the error that a remote caller gets
// from the production transport.
func remoteError(err error) error {
	if errors.Is(err, peer.ErrUnknownMethod) {
		return err
	}
	return fmt.Errorf("%w: %s", peer.ErrRemote, err.Error())
}
