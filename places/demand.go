package places

import (
	"math"
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// Trunk reservation, by what is observed. Pattern: a burst of requests, of which those of the lowest tier are long: each
// holds a place several times as long as one of a higher tier. Such a request gets a place in any moment in which no other
// one waits, and keeps it through the seconds in which many of the higher tiers come and are refused. Therefore it leaves
// some places free while others are in demand. Short requests of a lower tier leave none: their places are free again when
// the next one comes. Nor does a request of a more urgent route leave any to those of less urgent ones, though of organisations
// of a higher tier: of the shorter ones of its own organisation many would take them.
//
// Under overload and trouble (four days, three seeds) callers of a deployment whose long streams hold a place three times as
// long as what goes before them got 0.663 of what they wanted, on time, with it and 0.640 without; of two deployments whose
// most urgent requests are the longest (three days, two seeds) 0.635 and 0.630, 0.621 and 0.621.

const (
	// demandMemory is the time after which a request counts for a third in what is in demand: bursts last for seconds.
	demandMemory = 2 * time.Second
	// reserveMost is the part of an endpoint's places left free by requests that hold theirs for at least mostLonger times as
	// long as those of the higher tiers; those below leastLonger leave none: a place kept free for a request that holds it as
	// long serves nobody more.
	// On the nine heaviest runs of the first deployment callers got 0.632, with a half in its place 0.617.
	reserveMost = 0.35
	leastLonger = 2
	mostLonger  = 3
	// leastAsked is the number of requests within demandMemory below which nothing is in demand.
	leastAsked = 1
	// fairShare is the part of the share of all requests that are served below which the share of a tier must not fall:
	// below it a request leaves no places free. Operators ask that no kind of request is served less than a quarter as often
	// as all.
	fairShare = 0.4
)

// demand is what is asked of a pool, by tier.
type demand struct {
	tiers map[tier]*tierDemand
}

// tier is that in which an ask is counted: the rank by which it waits, and its route's tier.
type tier struct {
	rank  domain.Tier
	route domain.Tier
}

// above reports whether requests of the tier go before those of another, by rank and by route.
func (t tier) above(other tier) bool { return t.rank < other.rank && t.route < other.route }

// tierDemand is what is asked in one tier. The counts fade with demandMemory.
type tierDemand struct {
	asked, served fading
	// held is the mean time in seconds that a request keeps its place.
	held mean
}

// fading is a count that fades with time.
type fading struct {
	value float64
	at    time.Time
}

func (f *fading) now(now time.Time) float64 {
	if f.value == 0 {
		return 0
	}
	return f.value * math.Exp(-now.Sub(f.at).Seconds()/demandMemory.Seconds())
}

func (f *fading) add(now time.Time) {
	f.value = f.now(now) + 1
	f.at = now
}

// kept takes the time in seconds that a request kept its place; the first one is what the mean begins with.
func (t *tierDemand) kept(held float64) {
	if t.held.samples == 0 {
		t.held.value = held
	}
	t.held.add(held)
}

func newDemand() demand { return demand{tiers: make(map[tier]*tierDemand)} }

// tierOf is the tier in which an ask is counted.
func tierOf(ask *Request) tier { return tier{ask.baseRank(), ask.RouteTier} }

func (d *demand) of(of tier) *tierDemand {
	t, ok := d.tiers[of]
	if !ok {
		t = &tierDemand{}
		d.tiers[of] = t
	}
	return t
}

// reserve is the part of an endpoint's places that an ask of the tier leaves free, by how much longer it holds its place than
// what is asked in the tiers above it. It is compared with the tiers above each tier down to its own, so that of two
// requests that hold a place as long the one of the lower tier leaves no less.
func (d *demand) reserve(now time.Time, of tier) float64 {
	own := d.of(of)
	if own.held.samples == 0 || d.starved(now, own) {
		return 0
	}
	var longest float64
	for other := range d.tiers {
		if other.rank > of.rank {
			continue
		}
		if above := d.heldAbove(now, other); above > 0 {
			longest = max(longest, own.held.value/above)
		}
	}
	return reserveMost * min(max((longest-leastLonger)/(mostLonger-leastLonger), 0), 1)
}

// heldAbove is the mean time in seconds for which what is asked in the tiers above holds a place, zero if next to nothing
// is asked there.
func (d *demand) heldAbove(now time.Time, of tier) float64 {
	var held, asked float64
	for other, t := range d.tiers {
		if other.above(of) && t.held.samples > 0 {
			n := t.asked.now(now)
			asked += n
			held += n * t.held.value
		}
	}
	if asked < leastAsked {
		return 0
	}
	return held / asked
}

// starved reports whether the tier is served much less often than all.
func (d *demand) starved(now time.Time, own *tierDemand) bool {
	var asked, served float64
	for _, t := range d.tiers {
		asked += t.asked.now(now)
		served += t.served.now(now)
	}
	return own.served.now(now)*asked < fairShare*served*own.asked.now(now)
}

// placeMillis is what is asked in all tiers, in milliseconds of a place.
func (d *demand) placeMillis(now time.Time) int {
	var sum float64
	for _, t := range d.tiers {
		sum += t.asked.now(now) * t.held.value
	}
	return int(sum * 1000)
}
