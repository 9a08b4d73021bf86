package limits

import "time"

// bucket is the token bucket of an organisation at its owner. It refills at a
// constant rate up to one minute's limit. Its level may be negative.
type bucket struct {
	level    float64
	limit    int
	filledAt time.Time
}

// refill adds the tokens accrued until now at the given limit per minute. The first
// call fills the bucket; a lower limit applies at once.
func (b *bucket) refill(now time.Time, limit int) {
	if b.filledAt.IsZero() {
		b.level = float64(limit)
	} else {
		b.level += float64(limit) * now.Sub(b.filledAt).Minutes()
	}
	b.filledAt, b.limit = now, limit
	b.level = min(b.level, float64(limit))
}

// take removes up to the given number of tokens, but at most a fraction of the level.
func (b *bucket) take(tokens int, fraction float64) int {
	taken := min(tokens, int(max(b.level, 0)*fraction))
	b.level -= float64(taken)
	return taken
}

// charge removes tokens that have already been used.
func (b *bucket) charge(tokens int) { b.level -= float64(tokens) }

// timeUntilPositive returns the time until tokens are available.
func (b *bucket) timeUntilPositive() time.Duration { return refillTime(-b.level, b.limit) }

// refillTime returns the time to accrue tokens at a limit per minute.
func refillTime(tokens float64, limit int) time.Duration {
	if limit <= 0 || tokens <= 0 {
		return 0
	}
	return time.Duration(tokens / float64(limit) * float64(time.Minute))
}
