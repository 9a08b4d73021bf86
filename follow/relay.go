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

// relayed remembers since when peers know of something that this node does not.
type relayed struct {
	mu    sync.Mutex
	since [topics]boottime.Instant
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
	f.compare(Configuration, word.Version > table.Version)
	known, _ := f.Revision(Endpoints)
	ahead := word.Endpoints > known
	if ahead {
		f.feeds[Endpoints].aheadSince.CompareAndSwap(0, int64(f.parts.Clock()))
	}
	f.compare(Endpoints, ahead)
}

// compare notes whether a peer is ahead in a topic.
func (f *Follower) compare(topic Topic, ahead bool) {
	r := &f.relayed
	now := f.parts.Clock()
	patience := newerPatience + f.batchPause()
	r.mu.Lock()
	defer r.mu.Unlock()
	since := &r.since[topic]
	switch {
	case !ahead:
		// Another peer may be ahead, and its next word says so again: it must have the time to. With a second for that, less
		// than the patience in a fleet of 17 nodes or more, peers that lacked a change too kept a node from ever asking.
		if *since != 0 && now.Sub(*since) > 2*patience {
			*since = 0
		}
	case *since == 0:
		*since = now
	case now.Sub(*since) > patience:
		*since = 0
		f.parts.Log.Warn().Stringer("topic", topic).Msg("a peer knows of a later change, asking the store")
		f.feeds[topic].hurry()
	}
}
