package wslink

import "time"

// drain begins the closing handshake of the link: no new calls are made on it and a
// close frame is sent. Once both ends have sent one and no calls are outstanding,
// the connection is closed.
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

// drainFor returns the time since draining began; zero if the link is not draining.
func (l *link) drainFor() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closeSent {
		return 0
	}
	return l.transport.uptime() - l.drainStarted
}

// handleClose handles a close frame, after which the remote end makes no more calls
// on this link.
func (l *link) handleClose() {
	l.mu.Lock()
	l.closeReceived = true
	l.mu.Unlock()
	l.drain()
	l.finishDrain()
}

// finishDrain queues the closing of the connection once both ends have sent a close
// frame and no calls are outstanding.
func (l *link) finishDrain() {
	l.mu.Lock()
	finished := l.closeSent && l.closeReceived && len(l.waiting) == 0 && l.serving == 0
	if !finished || l.closeQueued || l.ended {
		l.mu.Unlock()
		return
	}
	l.closeQueued = true
	l.mu.Unlock()
	_ = l.queue.push(outgoing{closeMarker: true})
}
