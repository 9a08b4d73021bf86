package capacity

import (
	"sync/atomic"
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// holdState is where an ask stands, as its own node knows it.
type holdState uint8

const (
	// holdAsked: no word yet.
	holdAsked holdState = iota
	holdQueued
	// holdSeek: the owner wants other data centres to be asked.
	holdSeek
	holdGranted
	holdRefused
	// holdFailed: the owner can't be reached.
	holdFailed
)

// hold is an ask of this node, and the grant that it becomes.
type hold struct {
	service *Service
	link    *link
	id      askID
	// ask does not change.
	ask Ask
	// firstTokenDue is zero if there is no aim.
	firstTokenDue time.Time
	due           time.Time
	// wake gets a value when the state changes.
	wake chan struct{}

	// What follows is guarded by the link's lock.
	mode      mode
	state     holdState
	closed    bool
	ruling    ruling
	grantedAt time.Time
	reported  progressCode

	progress atomic.Uint32
	revoked  chan struct{}
	// revocation is true once revoked is closed.
	revocation bool
}

var _ Grant = (*hold)(nil)

// Endpoint implements Grant.
func (h *hold) Endpoint() domain.EndpointID { return h.ruling.Endpoint }

// Revoked implements Grant.
func (h *hold) Revoked() <-chan struct{} { return h.revoked }

// Progress implements Grant. The owner learns of it with the next renewal.
func (h *hold) Progress(answerTokens int) {
	code := uint32(codeOf(answerTokens))
	for {
		old := h.progress.Load()
		if old >= code || h.progress.CompareAndSwap(old, code) {
			return
		}
	}
}

// Release implements Grant.
func (h *hold) Release(result Result) {
	h.link.mu.Lock()
	owner, known := h.link.owner, h.link.known
	first := h.close()
	h.link.mu.Unlock()
	if first && known {
		h.service.release(owner, h.link.key.pool, h.id, &result)
	}
}

// withdraw gives up an ask, or a grant that nobody will use.
func (h *hold) withdraw() { h.Release(Result{}) }

// close takes the hold out of its link's account. It reports whether it was
// there. The link's lock is held.
func (h *hold) close() bool {
	if h.closed {
		return false
	}
	h.closed = true
	h.link.remove(h)
	return true
}

// apply takes an owner's ruling. It reports whether the owner believes in a grant
// that this node will not use, so that it must be given back.
func (h *hold) apply(from domain.Member, r ruling, now time.Time) (giveBack bool) {
	h.link.mu.Lock()
	defer h.link.mu.Unlock()
	current := h.link.known && from.SameIncarnation(h.link.owner)
	if r.Verdict == verdictGranted {
		return h.granted(current, r, now)
	}
	if h.closed || !current {
		return false
	}
	h.rule(r)
	return false
}

// granted takes a grant, if it comes from the owner that this node deals with.
// Another owner's may be a second one, or that of an owner long out of date.
func (h *hold) granted(current bool, r ruling, now time.Time) (giveBack bool) {
	if h.closed || !current {
		return true
	}
	if h.state == holdGranted {
		return false
	}
	h.link.asks.remove(h.id)
	h.link.grants.add(h.id)
	h.ruling, h.grantedAt = r, now
	h.set(holdGranted)
	return false
}

// rule takes a ruling that is not a grant.
func (h *hold) rule(r ruling) {
	if r.Verdict == verdictRevoked {
		h.revoke()
		return
	}
	if h.state == holdGranted {
		return
	}
	h.ruling = r
	switch r.Verdict {
	case verdictQueued:
		h.set(holdQueued)
	case verdictSeek:
		h.set(holdSeek)
	case verdictRefused:
		h.set(holdRefused)
	}
}

func (h *hold) revoke() {
	if h.state == holdGranted && !h.revocation {
		h.revocation = true
		close(h.revoked)
	}
}

// fail notes that the owner can't be reached.
func (h *hold) fail() {
	if h.state != holdGranted && h.state != holdRefused {
		h.set(holdFailed)
	}
}

// failed is fail for callers without the link's lock.
func (h *hold) failed() {
	h.link.mu.Lock()
	defer h.link.mu.Unlock()
	h.fail()
}

func (h *hold) set(state holdState) {
	h.state = state
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// get returns the state and the last ruling.
func (h *hold) get() (holdState, ruling) {
	h.link.mu.Lock()
	defer h.link.mu.Unlock()
	return h.state, h.ruling
}

// takeProgress returns the progress if it has changed since the last call.
func (h *hold) takeProgress() (progressCode, bool) {
	code := progressCode(h.progress.Load())
	if code == h.reported || h.state != holdGranted {
		return code, false
	}
	h.reported = code
	return code, true
}

// outstanding returns the ask as it is sent now: without its name, with the time
// that is left.
func (h *hold) outstanding(now time.Time) Ask {
	ask := h.ask
	ask.Name = ""
	ask.Deadline = h.due.Sub(now)
	if !h.firstTokenDue.IsZero() {
		ask.FirstToken = max(h.firstTokenDue.Sub(now), 1)
	}
	return ask
}

// record describes the hold to an owner that does not know it.
func (h *hold) record(now time.Time) record {
	r := record{ID: h.id, Ask: h.outstanding(now), Mode: h.mode}
	if h.state == holdGranted {
		r.Endpoint = h.ruling.Endpoint
		r.Progress = progressCode(h.progress.Load())
		r.Held = now.Sub(h.grantedAt)
		r.Ask.Blocks, r.Ask.Session = nil, ""
	}
	return r
}
