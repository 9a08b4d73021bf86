package tokenlimit

import (
	"time"

	"hawthornrill.example/hawthornrill/boottime"
)

// parts is the number of parts into which a window is cut; what is let through counts for at most one part too long.
const parts = 32

// window sums what was let through in the last length of time. The zero value is empty.
type window struct {
	sums [parts]float64
	sum  float64
	// part is the number of the newest part.
	part int64
}

// advance brings the window to the instant.
func (w *window) advance(now boottime.Instant, length time.Duration) {
	part := int64(now) / int64(max(length/parts, 1))
	if part-w.part > parts {
		w.part = part - parts
	}
	for w.part < part {
		w.part++
		at := w.part % parts
		w.sum -= w.sums[at]
		w.sums[at] = 0
	}
}

// add counts an amount in the newest part; a negative one takes back.
func (w *window) add(amount float64) {
	w.sums[w.part%parts] += amount
	w.sum += amount
}
