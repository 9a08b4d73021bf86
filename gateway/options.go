package gateway

import "time"

// Options are a Gateway's settings.
type Options struct {
	// MaxKeyAge is how old the knowledge of the keys may be when a request is dispatched; zero for no bound.
	MaxKeyAge time.Duration
	// MaxConfigLag is for how long a later configuration may be known to exist before requests are refused rather than served
	// by an earlier one; zero for no bound.
	MaxConfigLag time.Duration
	// MaxHeldBodyBytes bounds the request bodies held at a time; zero means defaultBodyBytes.
	MaxHeldBodyBytes int64
}

const (
	// defaultBodyBytes bounds the request bodies held if the settings say nothing: a fifth of the smallest node's memory.
	defaultBodyBytes = 24 << 20
	// staleRetry is when a caller is told to come back if this node's knowledge is too old.
	staleRetry = 300 * time.Millisecond
	// soonRetry is when a caller is told to come back if an endpoint refused or could not be reached.
	soonRetry = 100 * time.Millisecond
	// leastTimeLeft is the time below which a dispatch has no prospect.
	leastTimeLeft = 20 * time.Millisecond
	// stallFactor is how many times the objective for the first byte, or for the pause between events, an endpoint may
	// take before a request that can be repeated goes on at another one.
	stallFactor = 3
	// leastStall bounds that from below: reports of the others' load, by which places are given, lag by this much.
	leastStall = time.Second
	// leastTryAgain is the same bound for plain idempotent calls, whose answers take tens of milliseconds.
	leastTryAgain = 300 * time.Millisecond
	// maxWholeAnswer bounds an answer that is held until it is complete; a longer one is passed on as it comes.
	maxWholeAnswer = 1 << 20
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	// progressEvents is the number of events after which the place's account is brought up to date.
	progressEvents = 8
	// maxPlaceTries bounds how often a place is asked for without a send, because endpoints could not be reached.
	maxPlaceTries = 6
)
