package follow

import "time"

const (
	// confirmingWatchWait is the wait of a watch that confirms the configuration. Twice this plus the response time must be
	// below the minimum bound on the age of keys in use (5 s), since the age counts from the sending of the previous watch.
	confirmingWatchWait = 1400 * time.Millisecond
	// idleWatchWait is the wait of a watch that need not confirm anything. Each call has a price; the store allows 30 s.
	idleWatchWait = 25 * time.Second
	// peerConfirmationMaxAge is the age up to which a node relies on its peers' confirmations, and peerConfirmationTimeout
	// the age at which it queries the store itself. The age at a confirming peer is at most twice confirmingWatchWait.
	peerConfirmationMaxAge  = 3000 * time.Millisecond
	peerConfirmationTimeout = 3200 * time.Millisecond
	// watchTimeoutMargin is how much later than its wait a watch may return before the connection is considered dead. A slow
	// store took 240 ms.
	watchTimeoutMargin = 600 * time.Millisecond
	loadTimeout        = 1500 * time.Millisecond
	// probeWait is the wait of the first watch after a failure or silence, which returns the current state at once.
	probeWait = time.Millisecond
	// probeTimeout is the timeout of that watch.
	probeTimeout = 700 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay after failed calls, which have a price too.
	minRetryDelay = 150 * time.Millisecond
	maxRetryDelay = 700 * time.Millisecond
	// baseBatchDelay lets one call read several changes. Each node of the fleet adds batchDelayPerNode, up to maxBatchDelay,
	// since the calls per change grow with the fleet. All are small compared with the two seconds within which the withdrawal
	// of an endpoint must take effect.
	baseBatchDelay    = 400 * time.Millisecond
	batchDelayPerNode = 6 * time.Millisecond
	maxBatchDelay     = 800 * time.Millisecond
	// missingEntryRetention is how long entries missing after an outage are retained: according to the platform, live
	// endpoints are listed again about two seconds after the store returns.
	missingEntryRetention = 2200 * time.Millisecond
	// maxRetentionAfterFailure bounds that retention by the last call of this node that failed, for a node that receives no
	// reports of others: the store returned later than that call was sent. It applies if the next call followed within
	// maxCallInterval, and not after a rest that the store asked for, in which it may have returned at any time.
	maxRetentionAfterFailure = 2900 * time.Millisecond
	maxCallInterval          = probeTimeout + maxRetryDelay*3/2
	// maxAnswerGap is the longest time between two answers of the store throughout which it is taken as available: a watch that
	// confirms the configuration after a batch. It is below two heartbeats of an endpoint, the shortest outage in which an entry
	// may expire. maxFailedAnswerGap is the same if a call has failed in between: a watch may be cut just before it would have
	// been answered.
	maxAnswerGap       = confirmingWatchWait + maxBatchDelay + 100*time.Millisecond
	maxFailedAnswerGap = confirmingWatchWait + 300*time.Millisecond
	// monitorInterval is how often retained entries and the age of the configuration are checked.
	monitorInterval = 100 * time.Millisecond
	// nodeListInterval is how often the list of nodes is read while a listed node is silent.
	nodeListInterval   = 10 * time.Second
	nodeListRetryDelay = time.Second
	// peerAheadTimeout is how long a peer may be ahead before this node stops waiting for its own watch.
	peerAheadTimeout = 500 * time.Millisecond
)
