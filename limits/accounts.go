package limits

import (
	"maps"
	"sync"
	"sync/atomic"

	"hawthornrill.example/hawthornrill/domain"
)

// accounts holds the organisations in use at a node. Lookups take no lock; adding and
// dropping copy the map.
type accounts struct {
	mu  sync.Mutex
	all atomic.Pointer[map[domain.OrganisationID]*account]
}

func newAccounts() *accounts {
	a := &accounts{}
	a.all.Store(&map[domain.OrganisationID]*account{})
	return a
}

func (a *accounts) current() map[domain.OrganisationID]*account { return *a.all.Load() }

// get returns the account, and creates it if there is none.
func (a *accounts) get(id domain.OrganisationID, create func() *account) *account {
	if c, ok := a.current()[id]; ok {
		return c
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if c, ok := a.current()[id]; ok {
		return c
	}
	next := maps.Clone(a.current())
	c := create()
	next[id] = c
	a.all.Store(&next)
	return c
}

// drop removes closed accounts.
func (a *accounts) drop(closed []*account) {
	if len(closed) == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	next := maps.Clone(a.current())
	for _, c := range closed {
		if next[c.organisation] == c {
			delete(next, c.organisation)
		}
	}
	a.all.Store(&next)
}
