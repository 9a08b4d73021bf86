package tokenlimit

import (
	"time"

	"hawthornrill.example/hawthornrill/boottime"
)

// bucketsPerWindow is the resolution of a window; an amount counts for up to one bucket longer than the window.
const bucketsPerWindow = 32

// window sums the amounts of a sliding time window. The zero value is empty.
type window struct {
	buckets [bucketsPerWindow]float64
	sum     float64
	// newestBucket is the sequence number of the newest bucket.
	newestBucket int64
}

// advance moves the window forward to now.
func (w *window) advance(now boottime.Instant, length time.Duration) {
	current := int64(now) / int64(max(length/bucketsPerWindow, 1))
	if current-w.newestBucket > bucketsPerWindow {
		w.newestBucket = current - bucketsPerWindow
	}
	for w.newestBucket < current {
		w.newestBucket++
		i := w.newestBucket % bucketsPerWindow
		w.sum -= w.buckets[i]
		w.buckets[i] = 0
	}
}

// add adds an amount to the newest bucket; a negative amount is a refund.
func (w *window) add(amount float64) {
	w.buckets[w.newestBucket%bucketsPerWindow] += amount
	w.sum += amount
}
