package places

import (
	"math"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/gossip"
)

// Trunk reservation based on observed demand. It addresses bursts of requests in which those of the lowest tier are
// long and hold a slot several times as long as those of a higher tier. A long request gets a slot at any moment at
// which no other request waits, and keeps it for the seconds in which many higher-tier requests arrive and are refused.
// It therefore leaves some slots free while higher tiers are in demand. Short requests of a lower tier reserve nothing:
// their slots are free again when the next request arrives. A request of a more urgent route reserves nothing for less
// urgent routes either, even for those of organisations of a higher tier: shorter requests of its own organisation
// would take many of the reserved slots.
//
// Under overload and faults (four days, three seeds), in a deployment whose long streams hold a slot three times as
// long as higher-priority requests, the share of the requested value that callers got on time was 0.663 with the
// reserve and 0.640 without. In two deployments whose most urgent requests are the longest (three days, two seeds) it
// was 0.635 against 0.630, and 0.621 against 0.621.

const (
	demandDecay = gossip.DemandDecay
	// maxReserve is the fraction of an endpoint's slots left free by requests that hold their slots at least
	// maxHoldRatio times as long as those of the higher tiers. Below minHoldRatio nothing is reserved: a slot kept free
	// for a request that holds it as long serves no more requests. On the nine heaviest runs of the first deployment
	// callers got a share of 0.632 with this value and 0.617 with a half.
	maxReserve   = 0.35
	minHoldRatio = 2
	maxHoldRatio = 3
	// minDemand is the number of requests within demandDecay below which a tier is not in demand.
	minDemand = 1
	// minServedRatio is the lowest ratio of a tier's served fraction to that of all requests; below it the tier
	// reserves nothing. Operators require that no kind of request is served less than a quarter as often as all.
	minServedRatio = 0.4
)

// demand tracks the demand on a pool, by tier.
type demand struct {
	tiers map[demandTier]*tierDemand
}

// demandTier is the key by which requests are counted: queue rank and route tier.
type demandTier struct {
	rank  domain.Tier
	route domain.Tier
}

// above reports whether requests of the tier precede those of another, both by rank and by route.
func (t demandTier) above(other demandTier) bool { return t.rank < other.rank && t.route < other.route }

// tierDemand is the demand of one tier. The counts decay with demandDecay.
type tierDemand struct {
	requested, served decayingCount
	// holdTime is the mean time in seconds that a request holds its slot.
	holdTime mean
}

// decayingCount is an exponentially decaying count.
type decayingCount struct {
	value float64
	at    time.Time
}

func (f *decayingCount) valueAt(now time.Time) float64 {
	if f.value == 0 {
		return 0
	}
	return f.value * math.Exp(-now.Sub(f.at).Seconds()/demandDecay.Seconds())
}

func (f *decayingCount) add(now time.Time) {
	f.value = f.valueAt(now) + 1
	f.at = now
}

// recordHold adds a hold time in seconds; the first sample is the mean's initial value.
func (t *tierDemand) recordHold(holdTime float64) {
	if t.holdTime.samples == 0 {
		t.holdTime.value = holdTime
	}
	t.holdTime.add(holdTime)
}

func newDemand() demand { return demand{tiers: make(map[demandTier]*tierDemand)} }

// demandTierOf returns the tier in which a request is counted.
func demandTierOf(request *Request) demandTier {
	return demandTier{request.baseRank(), request.RouteTier}
}

func (d *demand) forTier(tier demandTier) *tierDemand {
	t, ok := d.tiers[tier]
	if !ok {
		t = &tierDemand{}
		d.tiers[tier] = t
	}
	return t
}

// reserve is the fraction of an endpoint's slots that a request of the tier leaves free, by the ratio of its hold time
// to that of the tiers above it. The ratio is taken against the tiers above each tier down to its own, so that of two
// requests with equal hold times the one of the lower tier reserves no less.
func (d *demand) reserve(now time.Time, tier demandTier) float64 {
	own := d.forTier(tier)
	if own.holdTime.samples == 0 || d.starved(now, own) {
		return 0
	}
	var longest float64
	for other := range d.tiers {
		if other.rank > tier.rank {
			continue
		}
		if above := d.holdTimeAbove(now, other); above > 0 {
			longest = max(longest, own.holdTime.value/above)
		}
	}
	return maxReserve * min(max((longest-minHoldRatio)/(maxHoldRatio-minHoldRatio), 0), 1)
}

// holdTimeAbove is the mean hold time in seconds of the requests of the tiers above, or zero if these have almost no
// demand.
func (d *demand) holdTimeAbove(now time.Time, tier demandTier) float64 {
	var held, requested float64
	for other, t := range d.tiers {
		if other.above(tier) && t.holdTime.samples > 0 {
			n := t.requested.valueAt(now)
			requested += n
			held += n * t.holdTime.value
		}
	}
	if requested < minDemand {
		return 0
	}
	return held / requested
}

// starved reports whether the tier's served fraction is far below that of all tiers.
func (d *demand) starved(now time.Time, own *tierDemand) bool {
	var requested, served float64
	for _, t := range d.tiers {
		requested += t.requested.valueAt(now)
		served += t.served.valueAt(now)
	}
	return own.served.valueAt(now)*requested < minServedRatio*served*own.requested.valueAt(now)
}

// slotMillis is the demand of all tiers in slot-milliseconds.
func (d *demand) slotMillis(now time.Time) int {
	var sum float64
	for _, t := range d.tiers {
		sum += t.requested.valueAt(now) * t.holdTime.value
	}
	return int(sum * 1000)
}
