package tokenlimit

import (
	"time"

	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/routetable"
)

// The window alone would let all of a limit through at once. If all nodes were restarted right after that, none would
// know, and more than the limit would run within a window. So what is let through at once is bounded too: by depthBursts
// bursts, and at least by what becomes free in depthRate seconds. Whenever that restart comes, at most about 1.1
// times the limit then runs in a window, which the operators tolerate; with the window alone it was 1.13 times on a day
// with a restart of all nodes under an organisation that sent 4.7 times its usual.
const (
	depthBursts = 1.5
	depthRate   = 0.5
	// startBursts is what a new life lets through at once. A restart takes a second or more, in which nothing is let
	// through. Without it 177 of 490 requests in the two seconds after a restart of all nodes were refused.
	startBursts = 0.5
	// What is let through at once before such a restart and after it comes on top of what becomes free in the rest of the
	// window, in which nothing is let through for leastDown. So that all of it stays within overRestart times the limit,
	// depthPart of the difference may be let through at once before, and the rest after. Without that a burst of 3.6
	// seconds' rate, as after an operator has lowered the rate, came to 1.22 times the limit, one of 8 to 1.44.
	overRestart = 1.1
	leastDown   = time.Second
	depthPart   = 0.75
)

// account is one organisation's use of its limit, over all nodes as far as this node knows.
type account struct {
	used window
	// apart is what of it was used since some nodes have not been heard.
	apart window
	// before is what is thought to have been let through in the window before the instant since, which this node does
	// not know. It leaves the window evenly.
	before float64
	since  boottime.Instant
	// adopted is true once a peer has told what was used.
	adopted bool
	// limit is what may be used in a window, rate what becomes free each second.
	limit, rate float64
	// level is what may be used at once; it grows by the rate up to depth.
	level, depth float64
	filledAt     boottime.Instant
	// spent is what this life has let through, less what it took back.
	spent float64
}

// refresh brings the account to the instant and to the organisation's limit in force.
func (a *account) refresh(now boottime.Instant, o *routetable.Organisation, length time.Duration) {
	if a.depth == 0 {
		// Its first limit: it has been filling since this life began.
		a.rate, a.depth = o.Rate, depthOf(o, length)
		a.level = startOf(o, length)
	}
	a.advance(now, length)
	a.rate = o.Rate
	a.limit = limitOf(o, length)
	a.depth = depthOf(o, length)
	a.level = min(a.level, a.depth)
}

// limitOf is what an organisation may use in a window.
func limitOf(o *routetable.Organisation, length time.Duration) float64 {
	return o.Rate*length.Seconds() + o.Burst
}

// depthOf is what an organisation may use at once.
func depthOf(o *routetable.Organisation, length time.Duration) float64 {
	return min(max(depthBursts*o.Burst, depthRate*o.Rate), depthPart*roomOf(o, length))
}

// startOf is what a new life lets an organisation use at once.
func startOf(o *routetable.Organisation, length time.Duration) float64 {
	return min(startBursts*o.Burst, (1-depthPart)*roomOf(o, length))
}

// roomOf is what may be let through at once before and after a restart of all nodes.
func roomOf(o *routetable.Organisation, length time.Duration) float64 {
	return overRestart*limitOf(o, length) - o.Rate*(length-leastDown).Seconds()
}

// advance brings the account to the instant.
func (a *account) advance(now boottime.Instant, length time.Duration) {
	a.used.advance(now, length)
	a.apart.advance(now, length)
	a.level = min(a.level+a.rate*now.Sub(a.filledAt).Seconds(), a.depth)
	a.filledAt = now
}

// use counts an amount; a negative one takes back.
func (a *account) use(amount float64, apart bool) {
	a.used.add(amount)
	if apart {
		a.apart.add(amount)
	}
	a.level = min(max(a.level-amount, -a.depth), a.depth)
}

// total is what was used in the window that ends at the instant.
func (a *account) total(now boottime.Instant, length time.Duration) float64 {
	left := 1 - now.Sub(a.since).Seconds()/length.Seconds()
	return a.used.sum + a.before*max(left, 0)
}

// excess is by how much a cost is over the part of the limit that the nodes heard may use. What was used before the others
// fell silent is known to both sides, and each has its part of what that leaves: the sides' parts sum up to the whole, so
// that together they keep to the limit. When that use was held in full against the part of each, an organisation that had
// used a third of its limit was refused altogether by a third of the nodes for as long as the window lasts.
func (a *account) excess(now boottime.Instant, length time.Duration, cost, part float64) float64 {
	before := a.total(now, length) - a.apart.sum
	limit := part * a.limit
	// A request larger than the limit is let through when nothing else was.
	return max(part*before+a.apart.sum+min(cost, limit)-limit, min(cost, a.depth)-a.level)
}
