package endpointlimit

import "hawthornrill.example/hawthornrill/boottime"

// depthSeconds is how much of its share a node may send at once, in seconds; one request in any case.
const depthSeconds = 0.5

// bucket is what a node may send now of its share.
type bucket struct {
	// rate is the share in requests a second, zero for none.
	rate     float64
	level    float64
	filledAt boottime.Instant
}

// newBucket returns an empty one: a node that has just learned of a limit may have sent a lot.
func newBucket(now boottime.Instant) bucket { return bucket{filledAt: now} }

// fill brings the bucket to the instant and to the rate in requests a second.
func (b *bucket) fill(now boottime.Instant, rate float64) {
	if b.rate == 0 {
		b.rate = rate
	}
	b.level += b.rate * now.Sub(b.filledAt).Seconds()
	b.rate, b.filledAt = rate, now
	b.level = min(b.level, max(1, depthSeconds*rate))
}
