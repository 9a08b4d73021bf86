package follow

import (
	"time"

	"hawthornrill.example/hawthornrill/boottime"
)

// The watch of the endpoints waits for long, since each call has a price. If its answer is lost, or it was sent while the store was silent, the
// connection returns nothing further and nothing else tells this node of changes. The watch is therefore replaced as soon as what is known of
// the store contradicts it.

const (
	// maxAnswerDelay is how long after the store has stated a later revision the answer to a watch may still be on its way.
	maxAnswerDelay = 100 * time.Millisecond
	// minReplacementInterval bounds the calls while the store's revision increases without changes of the endpoints.
	minReplacementInterval = time.Second
)

// lostWatchReason is why the answer to a waiting watch may be lost, empty if nothing suggests that.
type lostWatchReason string

const (
	sentBeforeRecovery lostWatchReason = "sent before the store was reachable again"
	laterRevision      lostWatchReason = "the store has stated a later revision"
)

// replaceLostWatch queries the store if the answer to the waiting watch of the endpoints may be lost.
func (f *Follower) replaceLostWatch(now boottime.Instant) {
	d := f.feeds[Endpoints]
	sent := boottime.Instant(d.waitingSince.Load())
	if sent == 0 || now.Sub(sent) < minReplacementInterval {
		return
	}
	known := Revision(d.revision.Load())
	latest, behindSince := f.list.state(known)
	reason := f.lostWatchReason(now, sent, behindSince)
	if reason == "" {
		return
	}
	f.replaced.Inc()
	f.deps.Log.Warn().Str("reason", string(reason)).Dur("waiting_ms", now.Sub(sent)).Uint64("revision", uint64(known)).
		Uint64("store_revision", uint64(latest)).Dur("endpoints_age_ms", f.EndpointsAge(now)).
		Msg("answer to the watch of the endpoints may be lost, querying the store")
	d.probeNow()
}

// lostWatchReason returns why the answer to a watch of the endpoints may be lost that was sent at the given time. behindSince is since when the
// list has been behind the store's revision, zero if it is not.
func (f *Follower) lostWatchReason(now, sent, behindSince boottime.Instant) lostWatchReason {
	available, _ := f.store.state()
	switch {
	case sent < max(available.Since, boottime.Instant(f.recovered.Load())):
		return sentBeforeRecovery
	case behindSince > 0 && now.Sub(max(sent, behindSince)) > maxAnswerDelay:
		return laterRevision
	}
	return ""
}
