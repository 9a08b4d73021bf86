package endpointlimit

import "hawthornrill.example/hawthornrill/boottime"

// depthSeconds is how much of its share a node may send at once, in seconds; one request in any case.
const depthSeconds = 0.5

// bucket is what a node may send now of its share. It begins empty: a node that has just learned of a limit may have sent a
// lot.
type bucket struct {
	rate     float64
	level    float64
	filledAt boottime.Instant
}

// fill brings the bucket to the instant and to the rate in requests a second.
func (b *bucket) fill(now boottime.Instant, rate float64) {
	if b.filledAt != 0 {
		b.level += b.rate * now.Sub(b.filledAt).Seconds()
	}
	b.rate, b.filledAt = rate, now
	b.level = min(b.level, max(1, depthSeconds*rate))
}
