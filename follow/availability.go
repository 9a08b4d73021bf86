package follow

import (
	"sync"
	"time"

	"hawthornrill.example/hawthornrill/boottime"
)

// Availability is a period throughout which the store is known to have answered some node. The zero value means that nothing
// is known.
type Availability struct {
	// Since is the time of the first known answer of the period, Last that of the latest one.
	Since, Last boottime.Instant
}

// join returns the union of two periods if the store may be taken as available between them, and otherwise the later one.
func (a Availability) join(b Availability, maxGap time.Duration) Availability {
	if a.Last > b.Last {
		a, b = b, a
	}
	if a.Last == 0 || b.Since.Sub(a.Last) > maxGap {
		return b
	}
	return Availability{Since: min(a.Since, b.Since), Last: b.Last}
}

// storeHistory combines what this node and its peers know of the store's availability. A node can't tell by its own failed
// calls whether the store is down or only out of its own reach; an answer to any other node meanwhile shows the latter.
//
// Entries that are missing after an outage may have expired in it, and are retained until missingEntryRetention after its
// end, the earliest answer that any node is known to have got after it. Peers' reports may move that end back or show that
// there was no outage.
type storeHistory struct {
	mu        sync.Mutex
	available Availability
	// failed is true if a call of this node has failed since its last answer, failedAt is when the last such call was sent.
	failed   bool
	failedAt boottime.Instant
	// retainUntil is until when entries that are missing are retained.
	retainUntil boottime.Instant
}

// recordAnswer records an answer of the store to this node.
func (h *storeHistory) recordAnswer(now boottime.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	before := h.available
	h.available = before.join(Availability{Since: now, Last: now}, h.maxGap())
	if before.Last != 0 && h.available.Since > before.Since {
		h.retainUntil = now.Add(missingEntryRetention)
		if h.failed && now.Sub(h.failedAt) <= maxCallInterval {
			h.retainUntil = min(h.retainUntil, h.failedAt.Add(maxRetentionAfterFailure))
		}
	}
	h.failed = false
}

// maxGap is the longest time between two answers throughout which the store is taken as available. The lock is held.
func (h *storeHistory) maxGap() time.Duration {
	if h.failed {
		return maxFailedAnswerGap
	}
	return maxAnswerGap
}

// recordFailure records a failed call of this node that was sent at the given time.
func (h *storeHistory) recordFailure(sent boottime.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failed, h.failedAt = true, max(h.failedAt, sent)
}

// recordPeer records a period known to a peer. It reports whether missing entries are to be retained for a shorter time.
func (h *storeHistory) recordPeer(known Availability) (shortened bool) {
	if known.Last == 0 {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	before := h.available
	h.available = before.join(known, h.maxGap())
	end := h.available.Since.Add(missingEntryRetention)
	switch {
	case h.available.Since > before.Since:
		h.retainUntil = end
	case end < h.retainUntil:
		h.retainUntil = end
		return true
	}
	return false
}

// fails reports whether a call of this node has failed since its last answer.
func (h *storeHistory) fails() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failed
}

// state returns the current period and until when missing entries are retained.
func (h *storeHistory) state() (available Availability, retainUntil boottime.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.available, h.retainUntil
}
