// Package directory holds the endpoints in service as listed in the platform's store.
//
// An endpoint whose entry is removed leaves the snapshot at once. Only an entry that went missing while the store was
// unavailable is retained for a while after the store has returned, since entries expire in an outage and are listed again
// afterwards. An unusable entry removes the endpoint at once, also during an outage. An endpoint that restarts under the
// same ID is a new incarnation: the previous one is removed at once, and later entries for it are ignored.
package directory

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/domain"
)

// Directory is the list of endpoints. Snapshots are read without a lock.
type Directory struct {
	current atomic.Pointer[Snapshot]

	mu        sync.Mutex
	endpoints map[domain.EndpointID]*Endpoint
	// missing maps endpoints whose entries are missing to the time until which they are retained.
	missing map[domain.EndpointID]boottime.Instant
	// announced holds the incarnations that said themselves that they are leaving, with the time at which this node heard so.
	announced map[domain.EndpointID]boottime.Instant
	// versionChanges are the endpoints whose software version has changed since TakeVersionChanges.
	versionChanges []domain.EndpointID
	changed        chan struct{}
}

// Snapshot is an immutable copy of the list.
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
		announced: make(map[domain.EndpointID]boottime.Instant),
		changed:   make(chan struct{}, 1),
	}
	d.publish()
	return d
}

// Current returns the current snapshot.
func (d *Directory) Current() *Snapshot { return d.current.Load() }

// Changed returns a channel that receives a value after changes.
func (d *Directory) Changed() <-chan struct{} { return d.changed }

// Service returns the endpoints of a service, ordered by ID.
func (s *Snapshot) Service(name string) []*Endpoint { return s.services[name] }

// Endpoint returns the endpoint with this incarnation, or nil.
func (s *Snapshot) Endpoint(incarnation domain.EndpointID) *Endpoint {
	return s.byIncarnation[incarnation]
}

// Len returns the number of endpoints.
func (s *Snapshot) Len() int { return len(s.byIncarnation) }

// Apply adds listed endpoints and removes removed ones. If keepUntil is later than now, removed endpoints are retained until
// then.
func (d *Directory) Apply(now boottime.Instant, listed []*Endpoint, removed []domain.EndpointID, keepUntil boottime.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range listed {
		d.upsert(e)
	}
	for _, id := range removed {
		d.remove(now, id, keepUntil)
	}
	d.publish()
}

// Replace replaces the list. Missing endpoints are retained until keepUntil.
func (d *Directory) Replace(now boottime.Instant, listed []*Endpoint, keepUntil boottime.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	present := make(map[domain.EndpointID]bool, len(listed))
	for _, e := range listed {
		present[e.ID] = true
		d.upsert(e)
	}
	for id := range d.endpoints {
		if !present[id] {
			d.remove(now, id, keepUntil)
		}
	}
	d.publish()
}

// Drop removes endpoints with unusable entries at once.
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

// Sweep removes and returns the missing endpoints whose retention has ended.
func (d *Directory) Sweep(now boottime.Instant) []domain.EndpointID {
	d.mu.Lock()
	defer d.mu.Unlock()
	var expired []domain.EndpointID
	for id, until := range d.missing {
		if now >= until {
			delete(d.missing, id)
			delete(d.endpoints, id)
			expired = append(expired, id)
		}
	}
	if len(expired) > 0 {
		d.publish()
	}
	d.forgetAnnouncements(now)
	return expired
}

// LimitRetention ends the retention of missing endpoints at the given time if it ends later. It reports whether it does for any.
func (d *Directory) LimitRetention(until boottime.Instant) (limited bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, before := range d.missing {
		if before > until {
			d.missing[id], limited = until, true
		}
	}
	return limited
}

// upsert adds or replaces an entry unless it belongs to an earlier incarnation. An entry without a start time is assigned
// to the listed incarnation.
func (d *Directory) upsert(e *Endpoint) {
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
	if listed != nil && listed.Version != e.Version {
		e = d.withChangedVersion(e, listed)
	}
	d.endpoints[e.ID] = d.withAnnouncement(e)
}

// withAnnouncement returns the entry, as leaving if its incarnation has announced that.
func (d *Directory) withAnnouncement(e *Endpoint) *Endpoint {
	if _, ok := d.announced[e.Incarnation()]; !ok || e.Leaving {
		return e
	}
	leaving := *e
	leaving.Leaving = true
	return &leaving
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

// Each calls visit for every endpoint.
func (s *Snapshot) Each(visit func(*Endpoint)) {
	for _, e := range s.byIncarnation {
		visit(e)
	}
}
