package follow

import (
	"sync"
	"sync/atomic"
	"time"

	"hawthornrill.example/hawthornrill/boottime"
)

// maxListAge is the age from which on the list of endpoints counts as unconfirmed. Where some node of the data centre reaches the store, the
// list is confirmed every confirmingWatchWait.
const maxListAge = 4 * time.Second

// listAge tracks until when the list of endpoints is known to be complete. A list without changes is confirmed by any answer of the store that
// states a revision up to which the list is known, and by peers that know no later change.
type listAge struct {
	confirmed atomic.Int64
	// unconfirmed is true while the age exceeds maxListAge. Only the monitor uses it.
	unconfirmed bool

	mu sync.Mutex
	// latest is the latest revision that the store has stated to any node, as far as known. behindSince is since when it has been later than
	// the revision up to which the list is known, zero if it is not.
	latest      Revision
	behindSince boottime.Instant
}

// confirm records that the list was complete at the given time.
func (l *listAge) confirm(at boottime.Instant) {
	for {
		old := l.confirmed.Load()
		if int64(at) <= old || l.confirmed.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// observe records a revision that the store has stated to some node. known is the revision up to which the list is known.
func (l *listAge) observe(now boottime.Instant, stated, known Revision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latest = max(l.latest, stated)
	switch {
	case l.latest <= known:
		l.behindSince = 0
	case l.behindSince == 0:
		l.behindSince = now
	}
}

// state returns the latest known revision of the store and since when the list has been behind it, zero if it is not.
func (l *listAge) state(known Revision) (latest Revision, behindSince boottime.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.latest <= known {
		l.behindSince = 0
	}
	return l.latest, l.behindSince
}

// EndpointsAge returns an upper bound on the age of the known list of endpoints.
func (f *Follower) EndpointsAge(now boottime.Instant) time.Duration {
	at := f.list.confirmed.Load()
	if at == 0 {
		return unknownAge
	}
	return now.Sub(boottime.Instant(at))
}

// StoreRevision returns the latest revision that the store has stated to any node, as far as this node knows.
func (f *Follower) StoreRevision() Revision {
	known, _ := f.Revision(Endpoints)
	latest, _ := f.list.state(known)
	return latest
}

// observeAnswer takes into account that the store has answered a call for a topic that was sent at the given time.
func (f *Follower) observeAnswer(topic Topic, change Change, sent boottime.Instant) {
	endpoints := f.feeds[Endpoints]
	if topic == Configuration && change.Last == change.Revision {
		// The only change since the revision before is that of the configuration.
		endpoints.revision.CompareAndSwap(uint64(change.Revision)-1, uint64(change.Revision))
	}
	known := Revision(endpoints.revision.Load())
	f.list.observe(f.deps.Clock(), change.Revision, known)
	if endpoints.loaded.Load() && change.Revision <= known {
		f.list.confirm(sent)
	}
}

// observeList takes into account what a peer states about its list of endpoints.
func (f *Follower) observeList(state PeerState) {
	endpoints := f.feeds[Endpoints]
	known := Revision(endpoints.revision.Load())
	f.list.observe(f.deps.Clock(), state.StoreRevision, known)
	if endpoints.loaded.Load() && state.EndpointsConfirmed > 0 && state.Endpoints <= known {
		f.list.confirm(state.EndpointsConfirmed)
	}
}

// logListAge logs that the list of endpoints is no longer confirmed, and that it is confirmed again.
func (f *Follower) logListAge(now boottime.Instant) {
	age := f.EndpointsAge(now)
	if age == unknownAge || (age > maxListAge) == f.list.unconfirmed {
		return
	}
	f.list.unconfirmed = !f.list.unconfirmed
	known, _ := f.Revision(Endpoints)
	latest, _ := f.list.state(known)
	event, message := f.deps.Log.Info(), "list of endpoints confirmed again"
	if f.list.unconfirmed {
		event, message = f.deps.Log.Warn(), "list of endpoints is not confirmed"
	}
	event.Dur("endpoints_age_ms", age).Dur("configuration_age_ms", f.Age(now)).Uint64("revision", uint64(known)).
		Uint64("store_revision", uint64(latest)).Msg(message)
}
