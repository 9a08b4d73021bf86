package follow

import (
	"sync"
	"time"

	"hawthornrill.example/hawthornrill/boottime"
)

// PeerState is what a peer says that it knows.
type PeerState struct {
	// Version is the peer's configuration. At some time not before Confirmed it knew that this was the newest; zero if
	// that time is not known.
	Version   uint64
	Confirmed boottime.Instant
	// Apart is true if the peer, on which this node relies for the configuration, does not hand that version on: it must be
	// had from the store.
	NotForwarded bool
	// Endpoints is the revision of the last change of the endpoints that the peer has heard of.
	Endpoints Revision
}

// relayed remembers what peers know of that this node does not.
type relayed struct {
	mu    sync.Mutex
	ahead [topics]ahead
}

// ahead is the first change of a topic, a version or a revision, that peers know of and this node does not, and since when;
// zero if there is none.
type ahead struct {
	change uint64
	since  boottime.Instant
	// asked is when the store was last asked for it, zero if it was not.
	asked boottime.Instant
}

// askAgain is the pause after which the store is asked again for a change that peers know of: longer than a call that it
// does not answer takes.
const askAgain = 1500 * time.Millisecond

// Relay takes a peer's word. Its knowledge of the same version confirms this node's. Where it knows of something later
// and this node's own watch does not tell of it for a while, that watch is given up and the store asked at once.
func (f *Follower) ObservePeer(word PeerState) {
	table := f.Table()
	if table == nil {
		return
	}
	if word.Version == table.Version && word.Confirmed > 0 {
		f.confirm(word.Confirmed)
	}
	f.compare(Configuration, table.Version, word.Version, word.NotForwarded)
	known, _ := f.Revision(Endpoints)
	if word.Endpoints > known {
		f.feeds[Endpoints].aheadSince.CompareAndSwap(0, int64(f.parts.Clock()))
	}
	f.compare(Endpoints, uint64(known), uint64(word.Endpoints), false)
}

// compare asks the store when a change that a peer told of has been unknown to this node for too long. Words of peers that
// lack it too say nothing: when they ended the wait after a second, less than the patience in a fleet of 17 nodes or
// more, a node whose neighbours were as far behind never asked. Nor does a later change begin it anew, or go on with it once
// the first has come.
//
// One that no peer hands on is asked for at once, since reading it takes its time.
func (f *Follower) compare(topic Topic, known, told uint64, apart bool) {
	r := &f.relayed
	now := f.parts.Clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	a := &r.ahead[topic]
	if known >= a.change {
		*a = ahead{}
	}
	if told <= known {
		return
	}
	if a.since == 0 {
		*a = ahead{change: told, since: now}
	}
	waited := now.Sub(a.since)
	if !apart && waited <= newerPatience+f.batchPause() || a.asked != 0 && now.Sub(a.asked) < askAgain {
		return
	}
	a.asked = now
	f.parts.Log.Warn().Stringer("topic", topic).Uint64("known", known).Uint64("told", told).Bool("apart", apart).
		Dur("waited_ms", waited).Msg("a peer knows of a later change, asking the store")
	f.feeds[topic].catchUp()
}

// Behind returns for how long peers have known of a later configuration than the one in force here, zero if none does.
func (f *Follower) Behind(now boottime.Instant) time.Duration {
	r := &f.relayed
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.ahead[Configuration]
	if table := f.Table(); a.since == 0 || table == nil || table.Version >= a.change {
		return 0
	}
	return now.Sub(a.since)
}
