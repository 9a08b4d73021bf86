package endpointlimit

import "hawthornrill.example/hawthornrill/boottime"

// bucketDepthSeconds is the bucket's capacity in seconds of the node's share; it holds one request at least.
const bucketDepthSeconds = 0.5

// bucket is a token bucket that holds the requests that this node may send now.
type bucket struct {
	// rate is the node's share in requests a second, zero if it has none.
	rate       float64
	tokens     float64
	refilledAt boottime.Instant
}

// newBucket returns an empty bucket: a node that has just learned of a limit may have sent many requests already.
func newBucket(now boottime.Instant) bucket { return bucket{refilledAt: now} }

// refill adds the tokens accrued up to now and sets the rate, in requests a second, from now on.
func (b *bucket) refill(now boottime.Instant, rate float64) {
	if b.rate == 0 {
		b.rate = rate
	}
	b.tokens += b.rate * now.Sub(b.refilledAt).Seconds()
	b.rate, b.refilledAt = rate, now
	b.tokens = min(b.tokens, max(1, bucketDepthSeconds*rate))
}
