package follow

import "time"

// Times of the follower.
const (
	// watchWait is how long a watch waits. Twice this and an answer's time must be less than the least bound on the age
	// of keys in use (5 s), since the age counts from the sending of the watch before.
	watchWait = 2 * time.Second
	// watchSlack is how much later than that a watch may answer, for a slow store (240 ms observed), before the
	// connection is taken for dead.
	watchSlack = 800 * time.Millisecond
	// loadTimeout bounds a full read.
	loadTimeout = 1500 * time.Millisecond
	// probeWait is the wait of the first watch after a failure: its answer shows at once that the store is back.
	probeWait = time.Millisecond
	// probeTimeout bounds that watch.
	probeTimeout = 800 * time.Millisecond
	// retryFirst and retryMost are the pauses between failed calls; each call costs, failed or not.
	retryFirst = 150 * time.Millisecond
	retryMost  = 700 * time.Millisecond
	// batchPause lets changes that come together be read by one call. It is small beside the seconds in which a change
	// must be in force.
	batchPause = 120 * time.Millisecond
	// returnGrace is how long entries missing after an outage are kept: the platform states that live endpoints are
	// listed again about two seconds after its return.
	returnGrace = 2200 * time.Millisecond
	// sweepEvery is how often kept entries are looked at.
	sweepEvery = 100 * time.Millisecond
)
