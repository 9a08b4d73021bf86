package wslink

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

// remote is the transport's state for another node: the links to it and the state of
// dialling it.
type remote struct {
	node domain.NodeID

	mu      sync.Mutex
	links   []*link
	dialing *pendingDial
	backoff *backoff.ExponentialBackOff
	// failedAddress is the address of the last failed dial, retryAt the time, measured from
	// the start of the transport, from which it may be dialled again.
	failedAddress string
	retryAt       time.Duration
	lastErr       error
}

// pendingDial is a dial in progress, shared by the callers that wait for it.
type pendingDial struct {
	address string
	wanted  domain.Incarnation
	done    chan struct{}
	// found and err are set before done is closed.
	found domain.Member
	err   error
}

func (t *Transport) remote(node domain.NodeID) *remote {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.remotes[node]
	if r == nil {
		r = &remote{node: node, backoff: t.newBackoff()}
		t.remotes[node] = r
	}
	return r
}

func (t *Transport) newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = t.options.MinBackoff
	b.MaxInterval = t.options.MaxBackoff
	b.Reset()
	return b
}

// maxLinkAttempts limits the attempts to get a link for one message when the remote
// end closes each link as soon as it is open.
const maxLinkAttempts = 3

// linkTo returns an open link to the incarnation, after dialling if there is none.
// Errors wrap peer.ErrNotSent.
func (t *Transport) linkTo(ctx context.Context, to domain.Member) (*link, error) {
	for range maxLinkAttempts {
		l, d, err := t.linkOrDial(to)
		if l != nil || err != nil {
			return l, err
		}
		select {
		case <-d.done:
		case <-ctx.Done():
			return nil, fmt.Errorf("%w: dial %s: %w", peer.ErrNotSent, to, ctx.Err())
		}
		if d.address != to.Address {
			continue
		}
		if d.err != nil {
			return nil, fmt.Errorf("%w: dial %s: %w", peer.ErrNotSent, to, d.err)
		}
		if to.Incarnation != 0 && d.found.Incarnation != to.Incarnation {
			return nil, &IncarnationMismatchError{Called: to, Found: d.found}
		}
	}
	return nil, fmt.Errorf("%w: %s: %w", peer.ErrNotSent, to, errDraining)
}

// linkOrDial returns an open link, or a dial in progress to wait for, or an error that
// explains why neither is available.
func (t *Transport) linkOrDial(to domain.Member) (*link, *pendingDial, error) {
	if t.isClosing() {
		return nil, nil, fmt.Errorf("%w: %w", peer.ErrNotSent, ErrClosed)
	}
	r := t.remote(to.Node)
	r.mu.Lock()
	defer r.mu.Unlock()
	if l := r.find(to); l != nil {
		return l, nil, nil
	}
	if later := r.findLater(to); later != nil {
		return nil, nil, &IncarnationMismatchError{Called: to, Found: later.remote}
	}
	if r.dialing != nil {
		return nil, r.dialing, nil
	}
	if r.failedAddress == to.Address && t.uptime() < r.retryAt {
		return nil, nil, fmt.Errorf("%w: %w: %w", peer.ErrNotSent, ErrBackoff, r.lastErr)
	}
	return t.startDial(r, to)
}

// startDial starts a dial. The remote's lock must be held.
func (t *Transport) startDial(r *remote, to domain.Member) (*link, *pendingDial, error) {
	d := &pendingDial{address: to.Address, wanted: to.Incarnation, done: make(chan struct{})}
	if !t.start(func() { t.runDial(r, d, to) }) {
		return nil, nil, fmt.Errorf("%w: %w", peer.ErrNotSent, ErrClosed)
	}
	r.dialing = d
	return nil, d, nil
}

// runDial dials, records the outcome and notifies the waiting callers.
func (t *Transport) runDial(r *remote, d *pendingDial, to domain.Member) {
	l, err := t.dial(to)
	if err == nil && !t.addLink(l) {
		err = ErrClosed
	}
	if err == nil {
		d.found = l.remote
		r.drainDuplicate(l, to)
	}
	d.err = err
	r.recordDial(t, d)
	close(d.done)
}

// drainDuplicate drains a new link that leads to another incarnation than the one
// wanted if there is another open link to that incarnation.
func (r *remote) drainDuplicate(l *link, wanted domain.Member) {
	if wanted.Incarnation == 0 || l.remote.SameIncarnation(wanted) {
		return
	}
	r.mu.Lock()
	existing := r.find(l.remote)
	r.mu.Unlock()
	if existing != l {
		l.drain()
	}
}

// recordDial records the outcome of a dial and sets the backoff after a failure.
func (r *remote) recordDial(t *Transport, d *pendingDial) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dialing = nil
	r.lastErr = d.outcome()
	if r.lastErr == nil {
		r.failedAddress = ""
		r.backoff.Reset()
		return
	}
	t.metrics.dialFailures.Inc()
	if r.failedAddress != d.address {
		r.backoff.Reset()
	}
	r.failedAddress = d.address
	r.retryAt = t.uptime() + r.backoff.NextBackOff()
}

// outcome returns the error that delays the next dial: the dial failed, or an earlier
// incarnation than the one wanted answered.
func (d *pendingDial) outcome() error {
	if d.err == nil && d.found.Incarnation < d.wanted {
		return fmt.Errorf("wslink: %s answered, want incarnation %d", d.found, d.wanted)
	}
	return d.err
}

// find returns an open link to the incarnation, or to any incarnation for zero.
func (r *remote) find(to domain.Member) *link {
	for _, l := range r.links {
		if (to.Incarnation == 0 || l.remote.Incarnation == to.Incarnation) && l.open() {
			return l
		}
	}
	return nil
}

// findLater returns an open link to a later incarnation than the one called, which has
// therefore ended.
func (r *remote) findLater(to domain.Member) *link {
	for _, l := range r.links {
		if l.remote.Incarnation > to.Incarnation && l.open() {
			return l
		}
	}
	return nil
}

// addLink registers a link and starts its goroutines. If the transport is closing, it
// ends the link and returns false.
func (t *Transport) addLink(l *link) bool {
	r := t.remote(l.remote.Node)
	r.mu.Lock()
	r.links = append(r.links, l)
	if !l.dialled {
		// The node has dialled this one, so dialling it may succeed before the backoff
		// has elapsed.
		r.failedAddress = ""
	}
	r.mu.Unlock()
	started := !t.isClosing() && t.start(l.writeLoop) && t.start(l.readLoop)
	if !started {
		l.end(ErrClosed)
		return false
	}
	return true
}

// removeLink unregisters a link that has ended.
func (t *Transport) removeLink(l *link) {
	r := t.remote(l.remote.Node)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.links = slices.DeleteFunc(r.links, func(other *link) bool { return other == l })
}

// links returns the registered links to all nodes.
func (t *Transport) links() []*link {
	var links []*link
	for _, r := range t.allRemotes() {
		r.mu.Lock()
		links = append(links, r.links...)
		r.mu.Unlock()
	}
	return links
}

func (t *Transport) allRemotes() []*remote {
	t.mu.Lock()
	defer t.mu.Unlock()
	remotes := make([]*remote, 0, len(t.remotes))
	for _, r := range t.remotes {
		remotes = append(remotes, r)
	}
	return remotes
}

func (t *Transport) isClosing() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.closing
}
