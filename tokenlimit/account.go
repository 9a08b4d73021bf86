package tokenlimit

import (
	"time"

	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/routetable"
)

// The window alone would admit all of a limit at once. If all nodes were restarted right after that, none would know of it, and
// more than the limit would run within a window. So a token bucket bounds what is admitted at once: its depth is depthBurstFactor
// bursts, and at least depthRateSeconds of the rate. Whenever all nodes restart, at most about 1.1 times the limit then runs in a
// window, which the operators tolerate. With the window alone it was 1.13 times on a day with a restart of all nodes under an
// organisation that sent 4.7 times its usual load.
const (
	depthBurstFactor = 1.5
	depthRateSeconds = 0.5
	// startBurstFactor is the part of the burst that a restarted node admits at once. A restart takes a second or more, in which
	// nothing is admitted. Without it, 177 of 490 requests in the two seconds after a restart of all nodes were refused.
	startBurstFactor = 0.5
	// What is admitted at once before a restart of all nodes and after it comes on top of what the rate allows in the rest of the
	// window, in which nothing is admitted for minRestartTime. To keep the total within restartOvershootFactor times the limit,
	// depthShare of the difference may be admitted at once before the restart, and the rest after it. Without that, a burst of 3.6
	// seconds' rate, as after an operator has lowered the rate, came to 1.22 times the limit, and one of 8 seconds' to 1.44.
	restartOvershootFactor = 1.1
	minRestartTime         = time.Second
	depthShare             = 0.75
)

// account is one organisation's use of its limit over all nodes, as far as this node knows.
type account struct {
	used window
	// usedPartitioned is the part of used that was admitted while reports from some nodes were missing.
	usedPartitioned window
	// assumedUse is the estimated use in the window before assumedAt that is not in used. It leaves the window at a constant rate.
	assumedUse float64
	assumedAt  boottime.Instant
	// adopted is true once a peer's report has replaced the estimate.
	adopted bool
	// limit is the use allowed in a window, rate the use allowed per second in the long run.
	limit, rate float64
	// available is the cost that may be admitted at once; it grows at the rate up to depth.
	available, depth float64
	refilledAt       boottime.Instant
	// totalAdmitted is the cost admitted by this process, less refunds.
	totalAdmitted float64
}

// update applies the organisation's current limit and advances the account to now.
func (a *account) update(now boottime.Instant, o *routetable.Organisation, length time.Duration) {
	if a.depth == 0 {
		// First limit: the bucket has been filling since this process started.
		a.rate, a.depth = o.Rate, bucketDepth(o, length)
		a.available = initialAvailable(o, length)
	}
	a.advance(now, length)
	a.rate = o.Rate
	a.limit = windowLimit(o, length)
	a.depth = bucketDepth(o, length)
	a.available = min(a.available, a.depth)
}

// windowLimit is the cost that an organisation may use in a window.
func windowLimit(o *routetable.Organisation, length time.Duration) float64 {
	return o.Rate*length.Seconds() + o.Burst
}

// bucketDepth is the cost that an organisation may use at once.
func bucketDepth(o *routetable.Organisation, length time.Duration) float64 {
	return min(max(depthBurstFactor*o.Burst, depthRateSeconds*o.Rate), depthShare*restartAllowance(o, length))
}

// initialAvailable is the cost that a restarted node lets an organisation use at once.
func initialAvailable(o *routetable.Organisation, length time.Duration) float64 {
	return min(startBurstFactor*o.Burst, (1-depthShare)*restartAllowance(o, length))
}

// restartAllowance is the cost that may be admitted at once before and after a restart of all nodes, taken together.
func restartAllowance(o *routetable.Organisation, length time.Duration) float64 {
	return restartOvershootFactor*windowLimit(o, length) - o.Rate*(length-minRestartTime).Seconds()
}

// advance advances the account to now.
func (a *account) advance(now boottime.Instant, length time.Duration) {
	a.used.advance(now, length)
	a.usedPartitioned.advance(now, length)
	a.available = min(a.available+a.rate*now.Sub(a.refilledAt).Seconds(), a.depth)
	a.refilledAt = now
}

// use adds an amount to the use; a negative amount is a refund.
func (a *account) use(amount float64, partitioned bool) {
	a.used.add(amount)
	if partitioned {
		a.usedPartitioned.add(amount)
	}
	a.available = min(max(a.available-amount, -a.depth), a.depth)
}

// usedInWindow is the cost used in the window that ends now.
func (a *account) usedInWindow(now boottime.Instant, length time.Duration) float64 {
	remaining := 1 - now.Sub(a.assumedAt).Seconds()/length.Seconds()
	return a.used.sum + a.assumedUse*max(remaining, 0)
}

// excess is the amount by which a cost exceeds the share of the limit that the reachable nodes may use, given by fraction. Use from
// before a partition is known to both sides, and each side gets its fraction of what that leaves; the fractions sum up to
// one, so that both sides together stay within the limit. When that use was counted in full against each side's share, an
// organisation that had used a third of its limit was refused everything by a third of the nodes for the rest of the window.
func (a *account) excess(now boottime.Instant, length time.Duration, cost, fraction float64) float64 {
	shared := a.usedInWindow(now, length) - a.usedPartitioned.sum
	limit := fraction * a.limit
	// A request larger than the limit is admitted if nothing else was.
	return max(fraction*shared+a.usedPartitioned.sum+min(cost, limit)-limit, min(cost, a.depth)-a.available)
}
