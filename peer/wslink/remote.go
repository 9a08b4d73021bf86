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

// remote is what a transport holds of another node: its links and the state of
// dialling it.
type remote struct {
	node domain.NodeID

	mu      sync.Mutex
	links   []*link
	dialing *dialing
	backoff *backoff.ExponentialBackOff
	// failed is the address whose dial failed last, retryAt when it may be dialled
	// again, as time since the transport's start.
	failed  string
	retryAt time.Duration
	lastErr error
}

// dialing is a dial in progress that callers wait for.
type dialing struct {
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

// maxLinkAttempts bounds how often a link is sought for one message, where the
// other end closes each as soon as it is open.
const maxLinkAttempts = 3

// linkTo returns an open link to the life, dialling if there is none. Errors wrap
// peer.ErrNotSent.
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

// linkOrDial returns a link, or a dial to wait for, or why there will be neither.
func (t *Transport) linkOrDial(to domain.Member) (*link, *dialing, error) {
	if t.isClosing() {
		return nil, nil, fmt.Errorf("%w: %w", peer.ErrNotSent, ErrClosed)
	}
	r := t.remote(to.Node)
	r.mu.Lock()
	defer r.mu.Unlock()
	if l := r.find(to); l != nil {
		return l, nil, nil
	}
	if later := r.later(to); later != nil {
		return nil, nil, &IncarnationMismatchError{Called: to, Found: later.remote}
	}
	if r.dialing != nil {
		return nil, r.dialing, nil
	}
	if r.failed == to.Address && t.uptime() < r.retryAt {
		return nil, nil, fmt.Errorf("%w: %w: %w", peer.ErrNotSent, ErrBackoff, r.lastErr)
	}
	return t.startDial(r, to)
}

// startDial begins to dial. The remote's lock is held.
func (t *Transport) startDial(r *remote, to domain.Member) (*link, *dialing, error) {
	d := &dialing{address: to.Address, wanted: to.Incarnation, done: make(chan struct{})}
	if !t.start(func() { t.runDial(r, d, to) }) {
		return nil, nil, fmt.Errorf("%w: %w", peer.ErrNotSent, ErrClosed)
	}
	r.dialing = d
	return nil, d, nil
}

// runDial dials and tells those who wait.
func (t *Transport) runDial(r *remote, d *dialing, to domain.Member) {
	l, err := t.dial(to)
	if err == nil && !t.addLink(l) {
		err = ErrClosed
	}
	if err == nil {
		d.found = l.remote
		r.drainSpare(l, to)
	}
	d.err = err
	r.dialled(t, d)
	close(d.done)
}

// drainSpare closes a link to another life than the one wanted if there was one to
// that life already.
func (r *remote) drainSpare(l *link, wanted domain.Member) {
	if wanted.Incarnation == 0 || l.remote.SameLife(wanted) {
		return
	}
	r.mu.Lock()
	first := r.find(l.remote)
	r.mu.Unlock()
	if first != l {
		l.drain()
	}
}

// dialled notes how a dial ended.
func (r *remote) dialled(t *Transport, d *dialing) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dialing = nil
	r.lastErr = d.outcome()
	if r.lastErr == nil {
		r.failed = ""
		r.backoff.Reset()
		return
	}
	t.metrics.dialFailures.Inc()
	if r.failed != d.address {
		r.backoff.Reset()
	}
	r.failed = d.address
	r.retryAt = t.uptime() + r.backoff.NextBackOff()
}

// outcome returns why the dial is not to be repeated at once: it failed, or an
// earlier life than the one wanted answered.
func (d *dialing) outcome() error {
	if d.err == nil && d.found.Incarnation < d.wanted {
		return fmt.Errorf("wslink: %s answered, incarnation %d wanted", d.found, d.wanted)
	}
	return d.err
}

// find returns an open link to the life; incarnation zero finds any life.
func (r *remote) find(to domain.Member) *link {
	for _, l := range r.links {
		if (to.Incarnation == 0 || l.remote.Incarnation == to.Incarnation) && l.open() {
			return l
		}
	}
	return nil
}

// later returns an open link to a later life than the one called, which is
// therefore over.
func (r *remote) later(to domain.Member) *link {
	for _, l := range r.links {
		if l.remote.Incarnation > to.Incarnation && l.open() {
			return l
		}
	}
	return nil
}

// addLink makes a link known and starts its goroutines, unless the transport is
// closing.
func (t *Transport) addLink(l *link) bool {
	r := t.remote(l.remote.Node)
	r.mu.Lock()
	r.links = append(r.links, l)
	if !l.dialled {
		// The node reaches us: it may be worth dialling again.
		r.failed = ""
	}
	r.mu.Unlock()
	started := !t.isClosing() && t.start(l.writeLoop) && t.start(l.readLoop)
	if !started {
		l.end(ErrClosed)
		return false
	}
	return true
}

// removeLink forgets a link that has ended.
func (t *Transport) removeLink(l *link) {
	r := t.remote(l.remote.Node)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.links = slices.DeleteFunc(r.links, func(other *link) bool { return other == l })
}

// links returns all links.
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
