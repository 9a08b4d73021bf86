package gateway

import (
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// Options are a Gateway's settings.
type Options struct {
	// MaxKeyAge is the maximum age of the configuration by which a key is accepted at dispatch; zero means no bound.
	MaxKeyAge time.Duration
	// MaxConfigLag is how long a later configuration may be known to exist before requests are refused instead of served
	// by an earlier one; zero means no bound.
	MaxConfigLag time.Duration
	// MaxHeldBodyBytes bounds the total size of request bodies held in memory; zero means defaultMaxBodyBytes.
	MaxHeldBodyBytes int64
	// MaxHeldAnswerBytes bounds the total size of endpoints' responses held in memory, apart from small ones; zero means
	// defaultMaxAnswerBytes.
	MaxHeldAnswerBytes int64
	// Node is this node's ID, told to the nodes to which it forwards requests.
	Node domain.NodeID
}

const (
	// defaultMaxBodyBytes is a fifth of the smallest node's memory. It bounds the request bodies held in memory, and a
	// single body, if the settings and the configuration set no bound.
	defaultMaxBodyBytes = 24 << 20
	// staleRetryAfter is the Retry-After of a refusal because this node's configuration is out of date.
	staleRetryAfter = 300 * time.Millisecond
	// shortRetryAfter is the Retry-After if an endpoint refused, was unreachable or was not free in time.
	shortRetryAfter = 100 * time.Millisecond
	// crashPartRetryAfter is the Retry-After of a request that is refused for a part of its prompt: it will not be served sooner, and callers
	// that come back are load on all nodes.
	crashPartRetryAfter = time.Minute
	// sharedTiers is the number of tiers of which each lower one may use a smaller part of a bound.
	sharedTiers = 4
	// minDispatchTime is the time left below which a request is not dispatched, since it can't be answered in time.
	minDispatchTime = 20 * time.Millisecond
	// stallFactor is how many times the route's objective for the first byte, or for the gap between events, an endpoint
	// may take before a retryable request moves to another endpoint.
	stallFactor = 3
	// minStallTimeout is the lower bound of the stall timeout: a sound endpoint may be silent for a second or so and go on,
	// and callers leave a stream after two seconds of silence at the earliest.
	minStallTimeout = 1600 * time.Millisecond
	// minIdempotentStallTimeout is the lower bound for idempotent calls to plain services, which take tens of
	// milliseconds.
	minIdempotentStallTimeout = 300 * time.Millisecond
	// maxBufferedBytes bounds a response that is buffered until it is complete; one that states a greater length, up to maxAnswerBytes, is
	// forwarded as it arrives.
	maxBufferedBytes = 1 << 20
	maxAnswerBytes   = 1 << 30
	// defaultMaxAnswerBytes is a tenth of the smallest node's memory.
	defaultMaxAnswerBytes = 12 << 20
	// freeAnswerBytes is what each buffer for responses may hold without a reservation, enough for nearly all of them.
	freeAnswerBytes = 16 << 10
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	// progressEventInterval is the number of events between progress reports to the slot.
	progressEventInterval = 8
	// maxRepeatedAttempts bounds the attempts after the first one, also those in which no endpoint could be reached.
	maxRepeatedAttempts = 6
)
