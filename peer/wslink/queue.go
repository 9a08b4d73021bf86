package wslink

import "sync"

// outgoing is an entry of the send queue.
type outgoing struct {
	data []byte
	// message is set for requests and one-way messages, which may be abandoned before
	// they are written.
	message *pending
	// closeMarker marks the last entry, without a frame: the connection is closed when
	// it is reached.
	closeMarker bool
	// closesRequests marks the close frame, behind which no requests or one-way messages
	// are queued.
	closesRequests bool
}

// sendQueue is the queue of frames to be written on a link, limited in bytes.
type sendQueue struct {
	mu       sync.Mutex
	frames   []outgoing
	bytes    int
	maxBytes int
	closed   bool
	// closing is true once the close frame is queued.
	closing bool
	// wake receives a value when a frame is added.
	wake chan struct{}
}

func newSendQueue(maxBytes int) *sendQueue {
	return &sendQueue{maxBytes: maxBytes, wake: make(chan struct{}, 1)}
}

// push appends a frame, or returns ErrOverload or errDraining. An empty queue accepts
// a frame of any size. What closes the link is accepted beyond the limit, since
// refusing it would cut off the calls in progress.
func (q *sendQueue) push(o outgoing) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || q.closing && o.message != nil {
		return errDraining
	}
	if q.bytes > 0 && q.bytes+len(o.data) > q.maxBytes && !o.closesRequests && !o.closeMarker {
		return ErrOverload
	}
	q.closing = q.closing || o.closesRequests
	q.frames = append(q.frames, o)
	q.bytes += len(o.data)
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return nil
}

// pop removes and returns the first frame; false if the queue is empty.
func (q *sendQueue) pop() (outgoing, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.frames) == 0 {
		q.frames = nil
		return outgoing{}, false
	}
	first := q.frames[0]
	q.frames[0] = outgoing{}
	q.frames = q.frames[1:]
	q.bytes -= len(first.data)
	return first, true
}

// close drops the queued frames and makes push return errDraining.
func (q *sendQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.frames, q.bytes = nil, 0
}

func (q *sendQueue) queuedBytes() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.bytes
}
