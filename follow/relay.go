package follow

import (
	"sync"

	"hawthornrill.example/hawthornrill/boottime"
)

// Word is what a peer says that it knows.
type Word struct {
	// Version is the peer's configuration. At some time not before Confirmed it knew that this was the newest; zero if
	// that time is not known.
	Version   uint64
	Confirmed boottime.Instant
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
}

// Relay takes a peer's word. Its knowledge of the same version confirms this node's. Where it knows of something later
// and this node's own watch does not tell of it for a while, that watch is given up and the store asked at once.
func (f *Follower) Relay(word Word) {
	table := f.Table()
	if table == nil {
		return
	}
	if word.Version == table.Version && word.Confirmed > 0 {
		f.confirm(word.Confirmed)
	}
	f.compare(Configuration, table.Version, word.Version)
	known, _ := f.Revision(Endpoints)
	if word.Endpoints > known {
		f.feeds[Endpoints].aheadSince.CompareAndSwap(0, int64(f.parts.Clock()))
	}
	f.compare(Endpoints, uint64(known), uint64(word.Endpoints))
}

// compare asks the store when a change that a peer told of has been unknown to this node for too long. Words of peers that
// lack it too say nothing: when they ended the wait after a second, less than the patience in a fleet of 17 nodes or
// more, a node whose neighbours were as far behind never asked. Nor does a later change begin it anew, or go on with it once
// the first has come.
func (f *Follower) compare(topic Topic, known, told uint64) {
	r := &f.relayed
	now := f.parts.Clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	a := &r.ahead[topic]
	if known >= a.change {
		*a = ahead{}
	}
	switch {
	case told <= known:
	case a.since == 0:
		*a = ahead{told, now}
	case now.Sub(a.since) > newerPatience+f.batchPause():
		*a = ahead{}
		f.parts.Log.Warn().Stringer("topic", topic).Msg("a peer knows of a later change, asking the store")
		f.feeds[topic].hurry()
	}
}
