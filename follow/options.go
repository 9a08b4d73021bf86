package follow

import "time"

// Times of the follower.
const (
	// confirmWait is how long a watch waits that confirms the configuration. Twice this and an answer's time must be less
	// than the least bound on the age of keys in use (5 s), since the age counts from the sending of the watch before.
	confirmWait = 1400 * time.Millisecond
	// longWait is how long a watch waits that need not confirm anything. Each call costs; the store allows 30 s.
	longWait = 25 * time.Second
	// relayFresh is the age up to which a node relies on its peers' confirmations, and relayLost that at which it stops
	// waiting for them and asks the store itself. A peer that confirms has an age of at most twice confirmWait.
	relayFresh = 3000 * time.Millisecond
	relayLost  = 3200 * time.Millisecond
	// watchSlack is how much later than its wait a watch may answer, for a slow store (240 ms observed), before the
	// connection is taken for dead.
	watchSlack = 600 * time.Millisecond
	// loadTimeout bounds a full read.
	loadTimeout = 1500 * time.Millisecond
	// probeWait is the wait of the first watch after a failure or a silence: its answer shows at once how things are.
	probeWait = time.Millisecond
	// probeTimeout bounds that watch.
	probeTimeout = 700 * time.Millisecond
	// retryFirst and retryMost are the pauses between failed calls; each call costs, failed or not.
	retryFirst = 150 * time.Millisecond
	retryMost  = 700 * time.Millisecond
	// batchPause lets changes that come together be read by one call, and batchPauseNode is what each node of the fleet
	// adds, up to batchPauseMost: the calls for a change grow with the fleet. All are small beside the two seconds in
	// which an endpoint's leaving must be in force.
	batchPause     = 400 * time.Millisecond
	batchPauseNode = 6 * time.Millisecond
	batchPauseMost = 800 * time.Millisecond
	// returnGrace is how long entries missing after an outage are kept: the platform states that live endpoints are
	// listed again about two seconds after its return.
	returnGrace = 2200 * time.Millisecond
	// aloneAfter is how long a peer must have been ahead for an outage to be this node's alone. After an outage of the
	// store itself the nodes return within about a second of each other, the longest pause between calls.
	aloneAfter = 1500 * time.Millisecond
	// lookEvery is how often kept entries and the age are looked at.
	lookEvery = 100 * time.Millisecond
	// nodesEvery is how often the list of nodes is read while a listed one is silent.
	nodesEvery = 10 * time.Second
	// nodesRetry is the pause after a failed reading of that list.
	nodesRetry = time.Second
	// newerPatience is how long a peer may know of something later before this node stops waiting for its own watch.
	newerPatience = 500 * time.Millisecond
)
