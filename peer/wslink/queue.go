package wslink

import "sync"

// outgoing is a frame that waits to be written.
type outgoing struct {
	data []byte
	// message is set for requests and one-way messages, which can be abandoned.
	message *pending
	// last is the marker after which the connection is closed.
	last bool
}

// sendQueue holds the frames that wait to be written on a link, bounded by bytes.
type sendQueue struct {
	mu       sync.Mutex
	frames   []outgoing
	bytes    int
	maxBytes int
	closed   bool
	// wake has a value when there may be something to do.
	wake chan struct{}
}

func newSendQueue(maxBytes int) *sendQueue {
	return &sendQueue{maxBytes: maxBytes, wake: make(chan struct{}, 1)}
}

// push appends a frame, or returns ErrOverload or errDraining. A frame is always
// taken by an empty queue.
func (q *sendQueue) push(o outgoing) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return errDraining
	}
	if q.bytes > 0 && q.bytes+len(o.data) > q.maxBytes {
		return ErrOverload
	}
	q.frames = append(q.frames, o)
	q.bytes += len(o.data)
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return nil
}

// pop returns the first frame.
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

// close refuses further frames and drops those that wait.
func (q *sendQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.frames, q.bytes = nil, 0
}

// queuedBytes returns the bytes that wait.
func (q *sendQueue) queuedBytes() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.bytes
}
