// Package directory holds the endpoints in service, as the platform's store lists them.
//
// A listed endpoint that leaves is out of the snapshot at once. Only an entry that went missing while the store was out
// of reach is kept for a while after the store has returned, since entries lapse with the store and come back. An entry
// that can't be used takes the endpoint out at once, outage or not. An endpoint that has restarted under its ID is another
// incarnation: the one before is out at once, and what is told of it later changes nothing.
package directory

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/domain"
)

// Directory is the list of endpoints. Readers take snapshots without a lock.
type Directory struct {
	current atomic.Pointer[Snapshot]

	mu        sync.Mutex
	endpoints map[domain.EndpointID]*Endpoint
	// missing are kept until the instant, unless they are listed again.
	missing map[domain.EndpointID]boottime.Instant
	changed chan struct{}
}

// Snapshot is the list at one time, immutable.
type Snapshot struct {
	services map[string][]*Endpoint
	// byIncarnation holds each endpoint under its Incarnation.
	byIncarnation map[domain.EndpointID]*Endpoint
}

// New returns an empty directory.
func New() *Directory {
	d := &Directory{
		endpoints: make(map[domain.EndpointID]*Endpoint),
		missing:   make(map[domain.EndpointID]boottime.Instant),
		changed:   make(chan struct{}, 1),
	}
	d.publish()
	return d
}

// Current returns the list as it is now.
func (d *Directory) Current() *Snapshot { return d.current.Load() }

// Changed receives a value after changes.
func (d *Directory) Changed() <-chan struct{} { return d.changed }

// Service returns the endpoints of a service, in the order of their names.
func (s *Snapshot) Service(name string) []*Endpoint { return s.services[name] }

// Endpoint returns the endpoint with this incarnation, or nil.
func (s *Snapshot) Endpoint(incarnation domain.EndpointID) *Endpoint {
	return s.byIncarnation[incarnation]
}

// Len returns the number of endpoints.
func (s *Snapshot) Len() int { return len(s.byIncarnation) }

// Apply brings in listed endpoints and takes out removed ones. Those removed before keepUntil are kept until then; a
// keepUntil in the past removes at once.
func (d *Directory) Apply(now boottime.Instant, listed []*Endpoint, removed []domain.EndpointID, keepUntil boottime.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range listed {
		d.list(e)
	}
	for _, id := range removed {
		d.remove(now, id, keepUntil)
	}
	d.publish()
}

// Replace makes the list the whole truth, but for missing endpoints that are kept until keepUntil.
func (d *Directory) Replace(now boottime.Instant, listed []*Endpoint, keepUntil boottime.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	present := make(map[domain.EndpointID]bool, len(listed))
	for _, e := range listed {
		present[e.ID] = true
		d.list(e)
	}
	for id := range d.endpoints {
		if !present[id] {
			d.remove(now, id, keepUntil)
		}
	}
	d.publish()
}

// Drop takes endpoints out at once whose entries can't be used.
func (d *Directory) Drop(ids []domain.EndpointID) {
	if len(ids) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, id := range ids {
		delete(d.endpoints, id)
		delete(d.missing, id)
	}
	d.publish()
}

// Sweep drops missing endpoints whose time is over, and returns them.
func (d *Directory) Sweep(now boottime.Instant) []domain.EndpointID {
	d.mu.Lock()
	defer d.mu.Unlock()
	var gone []domain.EndpointID
	for id, until := range d.missing {
		if now >= until {
			delete(d.missing, id)
			delete(d.endpoints, id)
			gone = append(gone, id)
		}
	}
	if len(gone) > 0 {
		d.publish()
	}
	return gone
}

// list takes an entry, unless it is of an earlier incarnation. One that does not tell its start is taken to be of the
// incarnation that is listed.
func (d *Directory) list(e *Endpoint) {
	listed := d.endpoints[e.ID]
	delete(d.missing, e.ID)
	if e.outdated(listed) {
		return
	}
	if e.Born == 0 && listed != nil && listed.Born != 0 {
		same := *e
		same.Born = listed.Born
		e = &same
	}
	d.endpoints[e.ID] = e
}

func (d *Directory) remove(now boottime.Instant, id domain.EndpointID, keepUntil boottime.Instant) {
	e, ok := d.endpoints[id]
	if !ok {
		return
	}
	if now >= keepUntil || e.Leaving {
		delete(d.endpoints, id)
		delete(d.missing, id)
		return
	}
	if _, ok := d.missing[id]; !ok {
		d.missing[id] = keepUntil
	}
}

func (d *Directory) publish() {
	s := &Snapshot{services: make(map[string][]*Endpoint), byIncarnation: make(map[domain.EndpointID]*Endpoint, len(d.endpoints))}
	for _, e := range d.endpoints {
		s.byIncarnation[e.Incarnation()] = e
		s.services[e.Service] = append(s.services[e.Service], e)
	}
	for _, list := range s.services {
		slices.SortFunc(list, func(a, b *Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	}
	d.current.Store(s)
	select {
	case d.changed <- struct{}{}:
	default:
	}
}

// Each calls visit with every endpoint.
func (s *Snapshot) Each(visit func(*Endpoint)) {
	for _, e := range s.byIncarnation {
		visit(e)
	}
}
