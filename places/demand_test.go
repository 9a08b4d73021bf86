package places

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
)

// tierOfRank returns the demand tier of an organisation's requests that are queued with the rank.
func tierOfRank(rank domain.Tier) demandTier { return demandTier{rank, rank / ranksPerTier % subTiers} }

// addTraffic adds requests of a tier, each holding its slot for the given time.
func (d *demand) addTraffic(now time.Time, rank domain.Tier, requested, served int, held time.Duration) {
	t := d.forTier(tierOfRank(rank))
	for range requested {
		t.requested.add(now)
	}
	for range served {
		t.served.add(now)
	}
	for range 10 {
		t.recordHold(held.Seconds())
	}
}

func TestReserveGrowsWithHoldTimeRatio(t *testing.T) {
	now := time.Now()
	for name, test := range map[string]struct {
		held time.Duration
		want float64
	}{
		"equal":               {500 * time.Millisecond, 0},
		"shorter":             {50 * time.Millisecond, 0},
		"twice as long":       {time.Second, 0},
		"2.5 times as long":   {1250 * time.Millisecond, maxReserve / 2},
		"three times as long": {1500 * time.Millisecond, maxReserve},
		"ten times as long":   {5 * time.Second, maxReserve},
	} {
		d := newDemand()
		d.addTraffic(now, 0, 10, 10, 500*time.Millisecond)
		d.addTraffic(now, 4, 10, 10, test.held)
		assert.Assert(t, diff(d.reserve(now, tierOfRank(4)), test.want) < 1e-6, "%s: %v", name, d.reserve(now, tierOfRank(4)))
		assert.Equal(t, d.reserve(now, tierOfRank(0)), 0.0, "the highest tier reserves nothing: %s", name)
	}
}

func diff(a, b float64) float64 { return max(a-b, b-a) }

func TestNoReserveWithoutHigherTierDemand(t *testing.T) {
	now := time.Now()
	d := newDemand()
	d.addTraffic(now, 0, 10, 10, 100*time.Millisecond)
	d.addTraffic(now, 4, 10, 10, time.Second)
	assert.Equal(t, d.reserve(now, tierOfRank(4)), maxReserve)
	assert.Equal(t, d.reserve(now.Add(10*demandDecay), tierOfRank(4)), 0.0)
}

// Of requests with equal hold times those of a lower tier reserve no less; short requests may use the reserved slots.
func TestLowerTierReservesNoLess(t *testing.T) {
	now := time.Now()
	d := newDemand()
	d.addTraffic(now, 0, 10, 10, 100*time.Millisecond)
	d.addTraffic(now, 4, 50, 50, time.Second)
	d.addTraffic(now, 8, 10, 10, 100*time.Millisecond)
	d.addTraffic(now, 12, 10, 10, time.Second)
	assert.Equal(t, d.reserve(now, tierOfRank(12)), d.reserve(now, tierOfRank(4)))
	assert.Equal(t, d.reserve(now, tierOfRank(8)), 0.0)
}

// The most urgent requests are the longest, and most of the demand is short requests of less urgent routes. Long
// requests of lower-tier organisations reserve nothing for the short ones of a higher tier: short requests of their own
// organisations would take the reserved slots.
func TestNoReserveForLessUrgentRoutes(t *testing.T) {
	now := time.Now()
	d := newDemand()
	d.addTraffic(now, 0, 5, 5, time.Second)
	d.addTraffic(now, 4, 50, 50, 100*time.Millisecond)
	d.addTraffic(now, 8, 5, 5, time.Second)
	d.addTraffic(now, 12, 50, 50, 100*time.Millisecond)
	assert.Equal(t, d.reserve(now, tierOfRank(8)), 0.0)
}

func TestStarvedTierReservesNothing(t *testing.T) {
	now := time.Now()
	d := newDemand()
	d.addTraffic(now, 0, 100, 100, 100*time.Millisecond)
	d.addTraffic(now, 4, 100, 20, time.Second)
	assert.Equal(t, d.reserve(now, tierOfRank(4)), 0.0)
	d.addTraffic(now, 4, 0, 40, time.Second)
	assert.Equal(t, d.reserve(now, tierOfRank(4)), maxReserve)
}

// runMixedLoad simulates ten seconds at 1.5 times the capacity, with short requests of the highest tier and requests of
// the lowest tier that hold their slots six times as long. It returns the served fraction of each.
func runMixedLoad(t *testing.T) (short, long float64) {
	const (
		endpoints = 6
		shortHeld = 250 * time.Millisecond
		longHeld  = 1500 * time.Millisecond
		// Of 100 slots' time short requests demand 65 and long ones 85.
		shortEvery = shortHeld * 100 / 65 / (endpoints * testSlots)
		longEvery  = longHeld * 100 / 85 / (endpoints * testSlots)
	)
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, endpoints)
		var requested, got [2]atomic.Int64
		send := func(kind int, tier domain.Tier, held, objective time.Duration) {
			requested[kind].Add(1)
			request := testRequest()
			request.SubTier, request.RouteTier = tier, tier
			request.PromptTokens, request.AnswerTokens = 300, 30
			request.FirstByteDue, request.Due = time.Now().Add(objective), time.Now().Add(4*objective)
			go func() {
				place, err := f.Acquire(context.Background(), request)
				if err != nil {
					return
				}
				got[kind].Add(1)
				time.Sleep(held)
				place.Release(served(20 * time.Millisecond))
			}()
		}
		stop := time.Now().Add(10 * time.Second)
		stream := func(every time.Duration, kind int, tier domain.Tier, held time.Duration) {
			draw := rand.New(rand.NewPCG(1, uint64(kind)))
			for time.Now().Before(stop) {
				time.Sleep(time.Duration(draw.ExpFloat64() * float64(every)))
				send(kind, tier, held, 300*time.Millisecond)
			}
		}
		go stream(longEvery, 1, 2, longHeld)
		stream(shortEvery, 0, 0, shortHeld)
		time.Sleep(10 * time.Second)
		short = float64(got[0].Load()) / float64(requested[0].Load())
		long = float64(got[1].Load()) / float64(requested[1].Load())
	})
	return short, long
}

func TestHigherTierShortRequestsServedBesideLongOnes(t *testing.T) {
	short, long := runMixedLoad(t)
	t.Logf("served: short %.3f, long %.3f", short, long)
	assert.Assert(t, short > 0.93, "%v", short)
	assert.Assert(t, long > short/4, "%v", long)
}
