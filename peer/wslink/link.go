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

// link is an open connection to one life of a node. A reader and a writer
// goroutine serve it until done is closed.
type link struct {
	transport *Transport
	remote    domain.Member
	conn      *websocket.Conn
	dialled   bool
	queue     *sendQueue
	ctx       context.Context
	cancel    context.CancelFunc
	// done is closed when the link has ended and all its callers know.
	done chan struct{}

	// lastUsed and lastReceived are times since the transport's start.
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
	lastQueued    bool
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
	l.touch()
	l.lastReceived.Store(l.lastUsed.Load())
	return l
}

// touch notes that the link is in use.
func (l *link) touch() { l.lastUsed.Store(int64(l.transport.uptime())) }

// open reports whether the link takes new calls.
func (l *link) open() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.closeSent && !l.ended
}

// call sends a request and waits for its reply. It returns errDraining if the
// link takes no calls any more.
func (l *link) call(ctx context.Context, method peer.Method, payload []byte) ([]byte, error) {
	p, err := l.enqueueRequest(ctx, method, payload)
	if err != nil {
		return nil, err
	}
	select {
	case r := <-p.done:
		return r.payload, r.err
	case <-ctx.Done():
		l.forget(p)
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
		f.TimeLeft = millis(time.Until(deadline))
	}
	if err := l.enqueue(f, p); err != nil {
		l.forget(p)
		return nil, err
	}
	return p, nil
}

// register gives the call a number.
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

// forget removes a call that nobody waits for any more.
func (l *link) forget(p *pending) {
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

// enqueue encodes a frame and queues it. Errors are errDraining or wrap
// peer.ErrNotSent.
func (l *link) enqueue(f *frame, message *pending) error {
	data, err := encodeFrame(f)
	if err != nil {
		return fmt.Errorf("%w: encode frame: %w", peer.ErrNotSent, err)
	}
	if len(data) > l.transport.options.MaxFrameBytes {
		return fmt.Errorf("%w: %w: %d bytes", peer.ErrNotSent, ErrTooLarge, len(data))
	}
	err = l.queue.push(outgoing{data: data, message: message})
	if err == nil {
		l.touch()
		l.transport.metrics.sent(f.Method, len(data))
		return nil
	}
	if err == errDraining {
		return err
	}
	return fmt.Errorf("%w: %w", peer.ErrNotSent, err)
}

// end breaks the link: all waiting callers are told, and the connection is
// dropped. Only the first call counts.
func (l *link) end(reason error) {
	if !l.release(reason) {
		return
	}
	l.cancel()
	_ = l.conn.CloseNow()
	close(l.done)
}

// endNonsense ends the link like end, and tells the other end why.
func (l *link) endNonsense(reason error) {
	l.transport.reportNonsense(l.remote.Node, reason)
	if !l.release(reason) {
		return
	}
	_ = l.conn.Close(websocket.StatusPolicyViolation, closeReasonNonsense)
	l.cancel()
	close(l.done)
}

// release tells all waiting callers that the link has ended and forgets it. It
// returns false if that has been done before.
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

// outstanding returns the calls that wait for a reply and those being served.
func (l *link) outstanding() (waiting, serving int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting), l.serving
}
