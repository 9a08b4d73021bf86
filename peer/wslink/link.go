package wslink

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

// link is an open connection to one incarnation of a node. A reader and a writer
// goroutine serve it until done is closed.
type link struct {
	transport *Transport
	remote    domain.Member
	conn      *websocket.Conn
	dialled   bool
	queue     *sendQueue
	ctx       context.Context
	cancel    context.CancelFunc
	// done is closed when the link has ended and all waiting callers have been notified.
	done chan struct{}

	// lastUsed and lastReceived are measured from the start of the transport.
	lastUsed     atomic.Int64
	lastReceived atomic.Int64
	pinging      atomic.Bool

	mu            sync.Mutex
	waiting       map[uint64]*pending
	lastID        uint64
	serving       int
	closeSent     bool
	closeReceived bool
	drainStarted  time.Duration
	closeQueued   bool
	ended         bool
}

func newLink(t *Transport, conn *websocket.Conn, remote domain.Member, dialled bool) *link {
	ctx, cancel := context.WithCancel(t.ctx)
	l := &link{
		transport: t,
		remote:    remote,
		conn:      conn,
		dialled:   dialled,
		queue:     newSendQueue(t.options.MaxQueuedBytes),
		ctx:       ctx,
		cancel:    cancel,
		done:      make(chan struct{}),
		waiting:   make(map[uint64]*pending),
	}
	l.markUsed()
	l.lastReceived.Store(l.lastUsed.Load())
	return l
}

// markUsed restarts the idle timeout of the link.
func (l *link) markUsed() { l.lastUsed.Store(int64(l.transport.uptime())) }

// open reports whether the link accepts new calls.
func (l *link) open() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.closeSent && !l.ended
}

// call sends a request and waits for its reply. It returns errDraining if the link
// no longer accepts calls.
func (l *link) call(ctx context.Context, method peer.Method, payload []byte) ([]byte, error) {
	p, err := l.enqueueRequest(ctx, method, payload)
	if err != nil {
		return nil, err
	}
	select {
	case r := <-p.done:
		return r.payload, r.err
	case <-ctx.Done():
		l.unregister(p)
		return nil, p.abandon(ctx.Err())
	}
}

// enqueueRequest registers the call and queues its frame.
func (l *link) enqueueRequest(ctx context.Context, method peer.Method, payload []byte) (*pending, error) {
	p, err := l.register()
	if err != nil {
		return nil, err
	}
	f := &frame{Kind: kindRequest, ID: p.id, Method: method, Payload: payload}
	if deadline, ok := ctx.Deadline(); ok {
		f.TimeLeft = ceilMillis(time.Until(deadline))
	}
	if err := l.enqueue(f, p); err != nil {
		l.unregister(p)
		return nil, err
	}
	return p, nil
}

// register assigns an ID to a new call and adds it to the calls that wait for replies.
func (l *link) register() (*pending, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closeSent || l.ended {
		return nil, errDraining
	}
	if len(l.waiting) >= l.transport.options.MaxOutstanding {
		return nil, fmt.Errorf("%w: %w: %d calls outstanding to %s", peer.ErrNotSent, ErrOverload, len(l.waiting), l.remote)
	}
	l.lastID++
	p := &pending{id: l.lastID, done: make(chan result, 1)}
	l.waiting[p.id] = p
	return p, nil
}

// unregister removes a call whose caller no longer waits.
func (l *link) unregister(p *pending) {
	l.mu.Lock()
	delete(l.waiting, p.id)
	l.mu.Unlock()
	l.finishDrain()
}

// send queues a one-way message.
func (l *link) send(method peer.Method, payload []byte) error {
	if !l.open() {
		return errDraining
	}
	return l.enqueue(&frame{Kind: kindOneWay, Method: method, Payload: payload}, &pending{})
}

// enqueue encodes a frame and queues it for writing. It returns errDraining or an
// error that wraps peer.ErrNotSent.
func (l *link) enqueue(f *frame, message *pending) error {
	data, err := encodeFrame(f)
	if err != nil {
		return fmt.Errorf("%w: encode frame: %w", peer.ErrNotSent, err)
	}
	if len(data) > l.transport.options.MaxFrameBytes {
		return fmt.Errorf("%w: %w: %d bytes", peer.ErrNotSent, ErrTooLarge, len(data))
	}
	err = l.queue.push(outgoing{data: data, message: message, closesRequests: f.Kind == kindClose})
	if err == nil {
		l.markUsed()
		l.transport.metrics.sent(f.Method, len(data))
		return nil
	}
	if err == errDraining {
		return err
	}
	return fmt.Errorf("%w: %w", peer.ErrNotSent, err)
}

// end ends the link: it fails all waiting calls and closes the connection without a
// closing handshake. Calls after the first have no effect.
func (l *link) end(reason error) {
	if !l.release(reason) {
		return
	}
	l.cancel()
	_ = l.conn.CloseNow()
	close(l.done)
}

// endWithViolation ends the link after a protocol violation. It reports the violation
// and closes the connection with the reason.
func (l *link) endWithViolation(reason error) {
	l.transport.reportViolation(l.remote.Node, reason)
	if !l.release(reason) {
		return
	}
	_ = l.conn.Close(websocket.StatusPolicyViolation, closeReasonProtocol)
	l.cancel()
	close(l.done)
}

// release fails all waiting calls and removes the link from the transport. It returns
// false if the link was released before.
func (l *link) release(reason error) bool {
	l.mu.Lock()
	if l.ended {
		l.mu.Unlock()
		return false
	}
	l.ended = true
	waiting := l.waiting
	l.waiting = nil
	l.mu.Unlock()
	l.queue.close()
	for _, p := range waiting {
		p.finish(result{err: p.abandon(fmt.Errorf("link to %s: %w", l.remote, reason))})
	}
	l.transport.removeLink(l)
	return true
}

// outstanding returns the number of calls that wait for a reply and of those being
// served.
func (l *link) outstanding() (waiting, serving int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting), l.serving
}
