package limits

import "time"

// bucket holds the tokens of an organisation that its owner has not given out. It
// fills evenly up to one minute's limit, and may fall below zero.
type bucket struct {
	level float64
	limit int
	at    time.Time
}

// fill brings the bucket to an instant under a limit a minute. A first fill makes it
// full; a lower limit takes effect at once.
func (b *bucket) fill(now time.Time, limit int) {
	if b.at.IsZero() {
		b.level = float64(limit)
	} else {
		b.level += float64(limit) * now.Sub(b.at).Minutes()
	}
	b.at, b.limit = now, limit
	b.level = min(b.level, float64(limit))
}

// take takes up to a number of tokens, but no more than a part of what there is.
func (b *bucket) take(tokens int, part float64) int {
	given := min(tokens, int(max(b.level, 0)*part))
	b.level -= float64(given)
	return given
}

// spend takes tokens that are already used.
func (b *bucket) spend(tokens int) { b.level -= float64(tokens) }

// debt returns how long it will take until there is anything to give.
func (b *bucket) debt() time.Duration { return timeFor(-b.level, b.limit) }

// timeFor returns how long so many tokens take at a limit a minute.
func timeFor(tokens float64, limit int) time.Duration {
	if limit <= 0 || tokens <= 0 {
		return 0
	}
	return time.Duration(tokens / float64(limit) * float64(time.Minute))
}
