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

// tierOfRank is the tier of an organisation's requests that wait by the rank.
func tierOfRank(rank domain.Tier) tier { return tier{rank, rank / ranks % withinTiers} }

// holds makes the demand of a tier: so many requests just asked for and served, each holding its place for so long.
func (d *demand) holds(now time.Time, rank domain.Tier, asked, served int, held time.Duration) {
	t := d.of(tierOfRank(rank))
	for range asked {
		t.asked.add(now)
	}
	for range served {
		t.served.add(now)
	}
	for range 10 {
		t.kept(held.Seconds())
	}
}

func TestReserveByHowLongARequestHoldsItsPlace(t *testing.T) {
	now := time.Now()
	for name, test := range map[string]struct {
		held time.Duration
		want float64
	}{
		"as long":               {500 * time.Millisecond, 0},
		"shorter":               {50 * time.Millisecond, 0},
		"twice as long":         {time.Second, 0},
		"two and a half":        {1250 * time.Millisecond, reserveMost / 2},
		"three times":           {1500 * time.Millisecond, reserveMost},
		"ten times, no further": {5 * time.Second, reserveMost},
	} {
		d := newDemand()
		d.holds(now, 0, 10, 10, 500*time.Millisecond)
		d.holds(now, 4, 10, 10, test.held)
		assert.Assert(t, diff(d.reserve(now, tierOfRank(4)), test.want) < 1e-6, "%s: %v", name, d.reserve(now, tierOfRank(4)))
		assert.Equal(t, d.reserve(now, tierOfRank(0)), 0.0, "the highest tier leaves none: %s", name)
	}
}

func diff(a, b float64) float64 { return max(a-b, b-a) }

func TestNothingIsReservedWhenNothingHigherIsAsked(t *testing.T) {
	now := time.Now()
	d := newDemand()
	d.holds(now, 0, 10, 10, 100*time.Millisecond)
	d.holds(now, 4, 10, 10, time.Second)
	assert.Equal(t, d.reserve(now, tierOfRank(4)), reserveMost)
	assert.Equal(t, d.reserve(now.Add(10*demandMemory), tierOfRank(4)), 0.0)
}

// Of requests that hold a place as long, those of a lower tier leave no less; short ones may use what long ones leave.
func TestReserveOfLowerTiers(t *testing.T) {
	now := time.Now()
	d := newDemand()
	d.holds(now, 0, 10, 10, 100*time.Millisecond)
	d.holds(now, 4, 50, 50, time.Second)
	d.holds(now, 8, 10, 10, 100*time.Millisecond)
	d.holds(now, 12, 10, 10, time.Second)
	assert.Equal(t, d.reserve(now, tierOfRank(12)), d.reserve(now, tierOfRank(4)))
	assert.Equal(t, d.reserve(now, tierOfRank(8)), 0.0)
}

// Pattern: the most urgent requests are the longest, and most of what is asked are short ones of less urgent routes. Those of
// organisations of a lower tier leave no places free for the short ones of a higher: the short ones of their own
// organisations would take them.
func TestUrgentRoutesLeaveNothingForLessUrgentOnes(t *testing.T) {
	now := time.Now()
	d := newDemand()
	d.holds(now, 0, 5, 5, time.Second)
	d.holds(now, 4, 50, 50, 100*time.Millisecond)
	d.holds(now, 8, 5, 5, time.Second)
	d.holds(now, 12, 50, 50, 100*time.Millisecond)
	assert.Equal(t, d.reserve(now, tierOfRank(8)), 0.0)
}

func TestStarvedTierLeavesNothingFree(t *testing.T) {
	now := time.Now()
	d := newDemand()
	d.holds(now, 0, 100, 100, 100*time.Millisecond)
	d.holds(now, 4, 100, 20, time.Second)
	assert.Equal(t, d.reserve(now, tierOfRank(4)), 0.0)
	d.holds(now, 4, 0, 40, time.Second)
	assert.Equal(t, d.reserve(now, tierOfRank(4)), reserveMost)
}

// mixedLoad plays ten seconds in which short requests of the highest tier and ones of the lowest that hold their places six
// times as long come at 1.5 times what the places serve, and returns which part of each is served.
func mixedLoad(t *testing.T) (short, long float64) {
	const (
		endpoints = 6
		shortHeld = 250 * time.Millisecond
		longHeld  = 1500 * time.Millisecond
		// Of each hundred places' time 65 are asked for by short requests, 85 by long ones.
		shortEvery = shortHeld * 100 / 65 / (endpoints * testSlots)
		longEvery  = longHeld * 100 / 85 / (endpoints * testSlots)
	)
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, endpoints)
		var asked, got [2]atomic.Int64
		send := func(kind int, tier domain.Tier, held, objective time.Duration) {
			asked[kind].Add(1)
			ask := testAsk()
			ask.SubTier, ask.RouteTier = tier, tier
			ask.PromptTokens, ask.AnswerTokens = 300, 30
			ask.FirstByteDue, ask.Due = time.Now().Add(objective), time.Now().Add(4*objective)
			go func() {
				place, err := b.Acquire(context.Background(), ask)
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
		short = float64(got[0].Load()) / float64(asked[0].Load())
		long = float64(got[1].Load()) / float64(asked[1].Load())
	})
	return short, long
}

func TestShortRequestsOfAHigherTierAreServedBesideLongOnes(t *testing.T) {
	short, long := mixedLoad(t)
	t.Logf("served: short %.3f, long %.3f", short, long)
	assert.Assert(t, short > 0.93, "%v", short)
	assert.Assert(t, long > short/4, "%v", long)
}
