package follow

import (
	"sync"
	"time"

	"hawthornrill.example/hawthornrill/boottime"
)

// newerPatience is how long a peer may know of a later configuration before this node stops waiting for its own watch,
// which usually tells of it within an answer's time and the pause between two calls.
const newerPatience = 500 * time.Millisecond

// relayed remembers what peers know that this node does not.
type relayed struct {
	mu      sync.Mutex
	version uint64
	since   boottime.Instant
	// interrupt ends the watch in progress, nil if there is none.
	interrupt func()
}

// Relay takes a peer's word: at some time not before the instant, it had confirmed that the version was the newest. A
// peer's knowledge of the same version confirms this node's. A later one that this node's own watch does not tell of
// makes it read the store in full.
func (f *Follower) Relay(version uint64, confirmed boottime.Instant) {
	table := f.table.Load()
	if table == nil || version < table.Version {
		return
	}
	if version == table.Version {
		f.confirm(confirmed)
		return
	}
	f.newer(version)
}

func (f *Follower) newer(version uint64) {
	r := &f.relayed
	now := f.parts.Clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.version != version {
		r.version, r.since = version, now
		return
	}
	if now.Sub(r.since) < newerPatience {
		return
	}
	r.since = now
	select {
	case f.reload <- struct{}{}:
	default:
	}
	if r.interrupt != nil {
		r.interrupt()
	}
}

func (f *Follower) setInterrupt(interrupt func()) {
	f.relayed.mu.Lock()
	defer f.relayed.mu.Unlock()
	f.relayed.interrupt = interrupt
}
