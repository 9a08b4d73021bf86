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

// result is what a caller gets.
type result struct {
	payload []byte
	err     error
}

// exchange is one request with its reply.
type exchange struct {
	network *Network
	from    *Node
	to      domain.Member
	method  peer.Method
	payload []byte
	oneWay  bool
	// timeLeft is what was left of the caller's deadline; zero for none.
	timeLeft time.Duration
	// done gets the first result; later ones are dropped.
	done chan result
	// lost gets a value when a message of the exchange was lost.
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

// call delivers the request and waits for the reply.
func (e *exchange) call(ctx context.Context) ([]byte, error) {
	if deadline, ok := ctx.Deadline(); ok {
		e.timeLeft = time.Until(deadline)
	}
	if !e.network.start(func() { e.deliver(e.from.ctx) }) {
		return nil, fmt.Errorf("%w: network closed", peer.ErrNotSent)
	}
	return e.await(ctx)
}

// await returns the reply, or ErrUnreachable when the context ends, or when for
// the network's timeout no reply could have come.
func (e *exchange) await(ctx context.Context) ([]byte, error) {
	var lost bool
	var giveUp <-chan time.Time
	for {
		changed, broken, timeout := e.linkState()
		switch {
		case !lost && !broken:
			giveUp = nil
		case giveUp == nil:
			giveUp = time.After(timeout)
		}
		select {
		case r := <-e.done:
			return r.payload, r.err
		case <-e.lost:
			lost = true
		case <-changed:
		case <-giveUp:
			return nil, fmt.Errorf("%w: %s from %s: timeout", peer.ErrUnreachable, e.method, e.to)
		case <-ctx.Done():
			return nil, fmt.Errorf("%w: %s from %s: %w", peer.ErrUnreachable, e.method, e.to, ctx.Err())
		case <-e.from.ctx.Done():
			return nil, fmt.Errorf("%w: %s has crashed", peer.ErrUnreachable, e.from.self)
		}
	}
}

// linkState reports whether a reply can't come as things stand.
func (e *exchange) linkState() (changed <-chan struct{}, broken bool, timeout time.Duration) {
	n := e.network
	n.mu.Lock()
	defer n.mu.Unlock()
	target := n.find(e.to)
	broken = target == nil || target.paused ||
		n.cuts[link{e.from.self.Node, e.to.Node}] || n.cuts[link{e.to.Node, e.from.self.Node}]
	return n.changed, broken, n.timeout
}

// deliver carries the request to its handler, once or, on order, twice.
func (e *exchange) deliver(ctx context.Context) {
	action, delay := e.network.pass(e.from.self, e.to, e.method, false, len(e.payload))
	if !action.Drop && !pacing.Sleep(ctx, delay) {
		return
	}
	if action.Drop || e.network.isCut(e.from.self.Node, e.to.Node) {
		e.lose()
		return
	}
	target, err := e.network.target(e.to)
	if err != nil {
		e.reply(ctx, e.to, result{err: err})
		return
	}
	if target == nil {
		e.lose()
		return
	}
	if action.Duplicate {
		e.network.start(func() { e.serveAt(target) })
	}
	e.serveAt(target)
}

// serveAt runs the handler and carries its reply back.
func (e *exchange) serveAt(target *Node) {
	if target.awaitAwake(target.ctx) != nil {
		return
	}
	ctx, cancel := e.handlerContext(target)
	defer cancel()
	payload, err := target.serve(ctx, e.from.self, e.method, e.payload)
	if e.oneWay {
		return
	}
	target.holdWhilePaused()
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

// reply carries a result back to the caller, unless the replying life ends first.
func (e *exchange) reply(ctx context.Context, from domain.Member, r result) {
	if e.oneWay {
		return
	}
	action, delay := e.network.pass(from, e.from.self, e.method, true, len(r.payload))
	if !action.Drop && !pacing.Sleep(ctx, delay) {
		return
	}
	if action.Drop || ctx.Err() != nil || e.network.isCut(from.Node, e.from.self.Node) {
		e.lose()
		return
	}
	select {
	case e.done <- r:
	default:
	}
}

// lose tells the waiting caller that no reply will come.
func (e *exchange) lose() {
	select {
	case e.lost <- struct{}{}:
	default:
	}
}

// remoteError is how a handler's error looks to the caller.
func remoteError(err error) error {
	if errors.Is(err, peer.ErrUnknownMethod) {
		return err
	}
	return fmt.Errorf("%w: %s", peer.ErrRemote, err.Error())
}
