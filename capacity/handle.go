package capacity

import (
	"sync/atomic"
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// handleState is the state of a request as its own node knows it.
type handleState uint8

const (
	// handleSent: no decision has arrived.
	handleSent handleState = iota
	handleQueued
	// handleSearch: the owner wants other data centres to be tried.
	handleSearch
	handleGranted
	handleRefused
	// handleFailed: the owner can't be reached.
	handleFailed
)

// handle is the client's side of a request at one owner, and the grant that it becomes.
type handle struct {
	service *Service
	link    *link
	id      requestID
	// request is immutable.
	request Request
	// firstTokenDue is zero if there is no first-token target.
	firstTokenDue time.Time
	due           time.Time
	// wake receives a value when the state changes.
	wake chan struct{}

	// The fields below are guarded by the link's lock.
	mode      mode
	state     handleState
	removed   bool
	decision  decision
	grantedAt time.Time
	reported  progressCode

	progress atomic.Uint32
	revoked  chan struct{}
	// isRevoked is true once revoked is closed.
	isRevoked bool
}

var _ Grant = (*handle)(nil)

// Endpoint implements Grant.
func (h *handle) Endpoint() domain.EndpointID { return h.decision.Endpoint }

// Revoked implements Grant.
func (h *handle) Revoked() <-chan struct{} { return h.revoked }

// Progress implements Grant. The next renewal carries it to the owner.
func (h *handle) Progress(answerTokens int) {
	code := uint32(progressCodeOf(answerTokens))
	for {
		old := h.progress.Load()
		if old >= code || h.progress.CompareAndSwap(old, code) {
			return
		}
	}
}

// Release implements Grant.
func (h *handle) Release(result Result) {
	h.link.mu.Lock()
	owner, known := h.link.owner, h.link.known
	first := h.removeFromLink()
	h.link.mu.Unlock()
	if first && known {
		h.service.release(owner, h.link.key.pool, h.id, &result)
	}
}

// cancel gives up a queued request, or a grant that nobody will use.
func (h *handle) cancel() { h.Release(Result{}) }

// removeFromLink takes the handle out of its link's records and reports whether it was
// there. The link's lock must be held.
func (h *handle) removeFromLink() bool {
	if h.removed {
		return false
	}
	h.removed = true
	h.link.remove(h)
	return true
}

// apply applies an owner's decision. It reports whether the owner has recorded a grant
// that this node will not use, which must then be released.
func (h *handle) apply(from domain.Member, r decision, now time.Time) (mustRelease bool) {
	h.link.mu.Lock()
	defer h.link.mu.Unlock()
	current := h.link.known && from.SameIncarnation(h.link.owner)
	if r.Kind == decisionGranted {
		return h.applyGrant(current, r, now)
	}
	if h.removed || !current {
		return false
	}
	h.applyDecision(r)
	return false
}

// applyGrant accepts a grant if it comes from the link's current owner. A grant from
// another owner may be a second one for the same request, or come from a node that has
// long lost the ownership.
func (h *handle) applyGrant(current bool, r decision, now time.Time) (mustRelease bool) {
	if h.removed || !current {
		return true
	}
	if h.state == handleGranted {
		return false
	}
	h.link.waiting.remove(h.id)
	h.link.granted.add(h.id)
	h.decision, h.grantedAt = r, now
	h.setState(handleGranted)
	return false
}

// applyDecision applies a decision that is not a grant.
func (h *handle) applyDecision(r decision) {
	if r.Kind == decisionRevoked {
		h.revoke()
		return
	}
	if h.state == handleGranted {
		return
	}
	h.decision = r
	switch r.Kind {
	case decisionQueued:
		h.setState(handleQueued)
	case decisionSearch:
		h.setState(handleSearch)
	case decisionRefused:
		h.setState(handleRefused)
	}
}

func (h *handle) revoke() {
	if h.state == handleGranted && !h.isRevoked {
		h.isRevoked = true
		close(h.revoked)
	}
}

// failLocked notes that the owner can't be reached. The link's lock must be held.
func (h *handle) failLocked() {
	if h.state != handleGranted && h.state != handleRefused {
		h.setState(handleFailed)
	}
}

// fail is failLocked for callers that don't hold the link's lock.
func (h *handle) fail() {
	h.link.mu.Lock()
	defer h.link.mu.Unlock()
	h.failLocked()
}

func (h *handle) setState(state handleState) {
	h.state = state
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// current returns the state and the last decision.
func (h *handle) current() (handleState, decision) {
	h.link.mu.Lock()
	defer h.link.mu.Unlock()
	return h.state, h.decision
}

// takeProgress returns the progress and whether it has changed since the last call.
func (h *handle) takeProgress() (progressCode, bool) {
	code := progressCode(h.progress.Load())
	if code == h.reported || h.state != handleGranted {
		return code, false
	}
	h.reported = code
	return code, true
}

// requestAt returns the request as it is sent now: without its name, and with the time
// that is left.
func (h *handle) requestAt(now time.Time) Request {
	request := h.request
	request.Name = ""
	request.Deadline = h.due.Sub(now)
	if !h.firstTokenDue.IsZero() {
		request.FirstToken = max(h.firstTokenDue.Sub(now), 1)
	}
	return request
}

// record describes the request or grant to an owner that does not know it.
func (h *handle) record(now time.Time) record {
	r := record{ID: h.id, Request: h.requestAt(now), Mode: h.mode}
	if h.state == handleGranted {
		r.Endpoint = h.decision.Endpoint
		r.Progress = progressCode(h.progress.Load())
		r.Held = now.Sub(h.grantedAt)
		r.Request.Blocks, r.Request.Session = nil, ""
	}
	return r
}
