package capacity

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// hintEvery bounds how often an owner's word about another owner is followed.
const hintEvery = time.Second

// linkKey names a pool of a data centre.
type linkKey struct {
	dc   domain.DataCentre
	pool domain.PoolName
}

// link is this node's account with the owner of one pool.
type link struct {
	key linkKey

	mu sync.Mutex
	// owner is whom this node deals with; known is false if there is nobody.
	owner domain.Member
	known bool
	// seen is the owner by this node's own view when it last changed.
	seen     domain.Member
	hintedAt time.Time
	holds    map[askID]*hold
	asks     digest
	grants   digest
	// changes counts asks that came and went.
	changes uint64
	// quiet is true once the owner has agreed that the account is empty.
	quiet bool
}

// linkTable holds the links of a node.
type linkTable struct {
	mu    sync.RWMutex
	links map[linkKey]*link
}

// get returns the link to a pool, a new one if need be.
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
	created := &link{key: key, holds: make(map[askID]*hold)}
	created.look(l)
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

// look takes the owner from a layout if that names another one than before. It
// reports whether the link has a new owner to register with.
func (l *link) look(view *layout) bool {
	owner, ok := view.owner(l.key.dc, l.key.pool)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !ok {
		l.abandon()
		return false
	}
	if l.known && owner.SameIncarnation(l.seen) {
		return false
	}
	l.owner, l.seen, l.known = owner, owner, true
	return len(l.holds) > 0
}

// abandon notes that the pool has no owner; asks that wait for it fail.
func (l *link) abandon() {
	l.known = false
	for _, h := range l.holds {
		h.fail()
	}
}

// follow takes an owner's word that another one is the owner. It reports whether
// that was news.
func (l *link) follow(owner domain.Member, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if owner.SameIncarnation(l.owner) || (!l.hintedAt.IsZero() && now.Sub(l.hintedAt) < hintEvery) {
		return false
	}
	l.owner, l.known, l.hintedAt = owner, true, now
	return true
}

// current returns the owner that this node deals with.
func (l *link) current() (domain.Member, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.owner, l.known
}

// add puts a new ask into the account.
func (l *link) add(h *hold) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holds[h.id] = h
	l.changes++
	l.quiet = false
	l.asks.add(h.id)
}

// remove takes an ask or grant out of the account. The lock is held.
func (l *link) remove(h *hold) {
	delete(l.holds, h.id)
	l.changes++
	if h.state == holdGranted {
		l.grants.remove(h.id)
		return
	}
	l.asks.remove(h.id)
}

// linkRenewal is a renewal of one link.
type linkRenewal struct {
	link    *link
	owner   domain.Member
	message poolRenewal
	// changes is the link's count at the time.
	changes uint64
}

// renewal sums the account up and notes that its progress has been reported. It
// returns false if there is nothing to renew.
func (l *link) renewal() (linkRenewal, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.known || l.quiet {
		return linkRenewal{}, false
	}
	var changes []progressChange
	for id, h := range l.holds {
		if code, changed := h.takeProgress(); changed {
			changes = append(changes, progressChange{id: id, code: code})
		}
	}
	r := poolRenewal{Pool: l.key.pool, Grants: l.grants, Asks: l.asks, Progress: encodeProgress(changes)}
	return linkRenewal{link: l, owner: l.owner, message: r, changes: l.changes}, true
}

// unreported forgets what progress has been reported.
func (l *link) unreported() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, h := range l.holds {
		h.reported = progressNone
	}
}

// agreed notes that the owner's account was the same as that of a renewal.
func (l *link) agreed(changes uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.quiet = len(l.holds) == 0 && l.changes == changes
}

// names returns the identifiers of all grants and asks.
func (l *link) names() (grants, asks []askID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, h := range l.holds {
		if h.state == holdGranted {
			grants = append(grants, id)
			continue
		}
		asks = append(asks, id)
	}
	return grants, asks
}

// records describes the named asks and grants in full, or all if ids is nil but
// those that no owner has answered yet: these are asked for by their callers.
func (l *link) records(ids []askID, now time.Time) []record {
	l.mu.Lock()
	defer l.mu.Unlock()
	var records []record
	if ids == nil {
		for _, h := range l.holds {
			if h.state != holdAsked {
				records = append(records, h.record(now))
			}
		}
	}
	for _, id := range ids {
		if h, ok := l.holds[id]; ok {
			records = append(records, h.record(now))
		}
	}
	slices.SortFunc(records, func(a, b record) int { return cmp.Compare(a.ID, b.ID) })
	return records
}
