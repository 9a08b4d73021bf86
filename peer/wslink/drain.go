package wslink

import "time"

// drain begins to close the link: no new calls are made on it, the other end is
// told, and when both ends have said so and nothing is outstanding the connection
// is closed.
func (l *link) drain() {
	l.mu.Lock()
	if l.closeSent || l.ended {
		l.mu.Unlock()
		return
	}
	l.closeSent = true
	l.drainStarted = l.transport.uptime()
	l.mu.Unlock()
	if err := l.enqueue(&frame{Kind: kindClose}, nil); err != nil {
		l.end(err)
		return
	}
	l.finishDrain()
}

// drainFor returns how long the link has been draining; zero if it is not.
func (l *link) drainFor() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closeSent {
		return 0
	}
	return l.transport.uptime() - l.drainStarted
}

// handleClose notes that the other end makes no more calls on this link.
func (l *link) handleClose() {
	l.mu.Lock()
	l.closeReceived = true
	l.mu.Unlock()
	l.drain()
	l.finishDrain()
}

// finishDrain queues the end of the connection when nothing is left to do.
func (l *link) finishDrain() {
	l.mu.Lock()
	finished := l.closeSent && l.closeReceived && len(l.waiting) == 0 && l.serving == 0
	if !finished || l.lastQueued || l.ended {
		l.mu.Unlock()
		return
	}
	l.lastQueued = true
	l.mu.Unlock()
	_ = l.queue.push(outgoing{last: true})
}
