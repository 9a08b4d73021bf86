package tokenlimit

import (
	"time"

	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/routetable"
)

// account is one organisation's use of its limit, over all nodes as far as this node knows.
type account struct {
	used window
	// before is what is thought to have been let through in the window before the instant since, which this node does
	// not know. It leaves the window evenly.
	before float64
	since  boottime.Instant
	// adopted is true once a peer has told what was used.
	adopted bool
	// limit is what may be used in a window, rate what becomes free each second.
	limit, rate float64
	// spent is what this life has let through, less what it took back.
	spent float64
}

// refresh brings the account to the instant and to the organisation's limit in force.
func (a *account) refresh(now boottime.Instant, o *routetable.Organisation, length time.Duration) {
	a.used.advance(now, length)
	a.rate = o.Rate
	a.limit = o.Rate*length.Seconds() + o.Burst
}

// total is what was used in the window that ends at the instant.
func (a *account) total(now boottime.Instant, length time.Duration) float64 {
	left := 1 - now.Sub(a.since).Seconds()/length.Seconds()
	return a.used.sum + a.before*max(left, 0)
}
