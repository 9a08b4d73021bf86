package capacity

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// minRedirectInterval limits how often a redirect to another owner is followed.
const minRedirectInterval = time.Second

// linkKey identifies a pool of a data centre.
type linkKey struct {
	dc   domain.DataCentre
	pool domain.PoolName
}

// link is this node's client-side state towards the owner of one pool.
type link struct {
	key linkKey

	mu sync.Mutex
	// owner is the owner that this node uses; known is false if there is none.
	owner domain.Member
	known bool
	// viewOwner is the owner according to this node's membership view when that last
	// changed.
	viewOwner    domain.Member
	redirectedAt time.Time
	handles      map[requestID]*handle
	waiting      digest
	granted      digest
	// changes counts requests added and removed.
	changes uint64
	// idle is true once the owner has confirmed that this node holds nothing.
	idle bool
}

// linkTable holds the links of a node.
type linkTable struct {
	mu    sync.RWMutex
	links map[linkKey]*link
}

// get returns the link to a pool and creates it if necessary.
func (t *linkTable) get(key linkKey, l *layout) *link {
	t.mu.RLock()
	found, ok := t.links[key]
	t.mu.RUnlock()
	if ok {
		return found
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if found, ok := t.links[key]; ok {
		return found
	}
	created := &link{key: key, handles: make(map[requestID]*handle)}
	created.updateOwner(l)
	t.links[key] = created
	return created
}

// find returns the link to a pool, or nil.
func (t *linkTable) find(key linkKey) *link {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.links[key]
}

// all returns the links, sorted.
func (t *linkTable) all() []*link {
	t.mu.RLock()
	links := make([]*link, 0, len(t.links))
	for _, l := range t.links {
		links = append(links, l)
	}
	t.mu.RUnlock()
	slices.SortFunc(links, func(a, b *link) int {
		return cmp.Or(cmp.Compare(a.key.dc, b.key.dc), cmp.Compare(a.key.pool, b.key.pool))
	})
	return links
}

// updateOwner takes the owner from a layout if it differs from that of the last layout.
// It reports whether there are requests to register with a new owner.
func (l *link) updateOwner(view *layout) bool {
	owner, ok := view.owner(l.key.dc, l.key.pool)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !ok {
		l.clearOwner()
		return false
	}
	if l.known && owner.SameIncarnation(l.viewOwner) {
		return false
	}
	l.owner, l.viewOwner, l.known = owner, owner, true
	return len(l.handles) > 0
}

// clearOwner notes that the pool has no owner and fails the queued requests. The lock
// must be held.
func (l *link) clearOwner() {
	l.known = false
	for _, h := range l.handles {
		h.failLocked()
	}
}

// redirect switches to the owner that another node named. It reports whether that was a
// change.
func (l *link) redirect(owner domain.Member, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if owner.SameIncarnation(l.owner) || (!l.redirectedAt.IsZero() && now.Sub(l.redirectedAt) < minRedirectInterval) {
		return false
	}
	l.owner, l.known, l.redirectedAt = owner, true, now
	return true
}

// currentOwner returns the owner that this node uses.
func (l *link) currentOwner() (domain.Member, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.owner, l.known
}

// add records a new request.
func (l *link) add(h *handle) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.handles[h.id] = h
	l.changes++
	l.idle = false
	l.waiting.add(h.id)
}

// remove takes out a request or grant. The lock must be held.
func (l *link) remove(h *handle) {
	delete(l.handles, h.id)
	l.changes++
	if h.state == handleGranted {
		l.granted.remove(h.id)
		return
	}
	l.waiting.remove(h.id)
}

// linkRenewal is a renewal of one link.
type linkRenewal struct {
	link    *link
	owner   domain.Member
	message poolRenewal
	// changes is the link's count when the renewal was made.
	changes uint64
}

// renewal summarises the link's requests and grants, and marks their progress as
// reported. It returns false if there is nothing to renew.
func (l *link) renewal() (linkRenewal, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.known || l.idle {
		return linkRenewal{}, false
	}
	var changes []progressChange
	for id, h := range l.handles {
		if code, changed := h.takeProgress(); changed {
			changes = append(changes, progressChange{id: id, code: code})
		}
	}
	r := poolRenewal{Pool: l.key.pool, Grants: l.granted, Requests: l.waiting, Progress: encodeProgress(changes)}
	return linkRenewal{link: l, owner: l.owner, message: r, changes: l.changes}, true
}

// resetReported marks all progress as not reported.
func (l *link) resetReported() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, h := range l.handles {
		h.reported = progressNone
	}
}

// confirm notes that the owner's records matched a renewal.
func (l *link) confirm(changes uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.idle = len(l.handles) == 0 && l.changes == changes
}

// ids returns the identifiers of all grants and queued requests.
func (l *link) ids() (grants, waiting []requestID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, h := range l.handles {
		if h.state == handleGranted {
			grants = append(grants, id)
			continue
		}
		waiting = append(waiting, id)
	}
	return grants, waiting
}

// records describes the given requests and grants in full. If ids is nil, it describes
// all but the requests that no owner has answered: these are sent again by their
// callers.
func (l *link) records(ids []requestID, now time.Time) []record {
	l.mu.Lock()
	defer l.mu.Unlock()
	var records []record
	if ids == nil {
		for _, h := range l.handles {
			if h.state != handleSent {
				records = append(records, h.record(now))
			}
		}
	}
	for _, id := range ids {
		if h, ok := l.handles[id]; ok {
			records = append(records, h.record(now))
		}
	}
	slices.SortFunc(records, func(a, b record) int { return cmp.Compare(a.ID, b.ID) })
	return records
}
