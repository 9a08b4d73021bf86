package places

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/directory"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/gossip"
)

const testSlots = 4

// bench is a desk with endpoints.
type bench struct {
	*Desk
	t     *testing.T
	list  *directory.Directory
	fleet gossip.Fleet
}

func newBench(t *testing.T, endpoints int) *bench {
	b := &bench{t: t, list: directory.New(), fleet: gossip.Fleet{Known: 1, Heard: 1, Near: 1}}
	for i := range endpoints {
		b.set(i, false)
	}
	b.Desk = New(Options{Node: "n", DataCentre: "d"}, b.list, func() gossip.Fleet { return b.fleet }, metrics.NewSet())
	return b
}

func (b *bench) set(i int, leaving bool) {
	b.list.Apply(0, []*directory.Endpoint{{
		ID: domain.EndpointID(fmt.Sprint("e", i)), Service: "s", DataCentre: "d", Slots: testSlots, Leaving: leaving,
	}}, nil, 0)
}

func testAsk() *Ask {
	now := time.Now()
	return &Ask{Service: "s", FirstByteDue: now.Add(time.Minute), Due: now.Add(2 * time.Minute)}
}

// take acquires a place that is free.
func (b *bench) take(ask *Ask) *Place {
	b.t.Helper()
	place, err := b.Acquire(b.t.Context(), ask)
	assert.NilError(b.t, err)
	return place
}

// fill takes so many places.
func (b *bench) fill(n int) []*Place {
	var taken []*Place
	for range n {
		taken = append(taken, b.take(testAsk()))
	}
	return taken
}

func served(first time.Duration) capacity.Result {
	return capacity.Result{Dispatched: true, Complete: true, FirstToken: first, Total: first}
}

// wait asks in the background.
func (b *bench) wait(ask *Ask) chan error {
	got := make(chan error, 1)
	go func() {
		_, err := b.Acquire(b.t.Context(), ask)
		got <- err
	}()
	synctest.Wait()
	return got
}

func TestPlacesAreGivenUpToTheirNumberAndThenWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 2)
		taken := b.fill(2 * testSlots)
		got := b.wait(testAsk())
		assert.Equal(t, b.Waiting(), 1)
		taken[3].Release(served(time.Millisecond))
		taken[3].Release(served(time.Millisecond)) // only the first counts
		assert.NilError(t, <-got)
		assert.Equal(t, b.Waiting(), 0)
		b.wait(testAsk())
		assert.Equal(t, b.Waiting(), 1)
	})
}

func TestRefusedAtOnceWhenItWouldStartTooLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1)
		for _, place := range b.fill(testSlots) {
			time.Sleep(20 * time.Second)
			place.Release(served(time.Second)) // places are kept for long
		}
		b.fill(testSlots)
		began := time.Now()
		ask := testAsk()
		ask.FirstByteDue = began.Add(500 * time.Millisecond)
		_, err := b.Acquire(b.t.Context(), ask)
		var refusal *Refusal
		assert.Assert(t, errors.As(err, &refusal) && errors.Is(err, ErrOverloaded))
		assert.Assert(t, refusal.RetryAfter >= retryLeast && refusal.RetryAfter <= ask.Due.Sub(began)/3)
		assert.Equal(t, time.Since(began), time.Duration(0))
	})
}

func TestLateRequestGivesUpBeforeItsCallerDoes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1)
		b.fill(testSlots)
		ask := testAsk()
		ask.FirstByteDue = time.Now().Add(-time.Second)
		began := time.Now()
		_, err := b.Acquire(b.t.Context(), ask)
		assert.ErrorIs(t, err, ErrOverloaded)
		assert.Assert(t, time.Since(began) <= lateMost)
		assert.Equal(t, b.Waiting(), 0)
	})
}

func TestOrderOfWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1)
		taken := b.fill(testSlots)
		order := make(chan string, 10)
		add := func(name string, tier domain.Tier, due time.Duration) {
			ask := testAsk()
			ask.Tier, ask.Name, ask.FirstByteDue = tier, name, time.Now().Add(due)
			go func() {
				if place, err := b.Acquire(b.t.Context(), ask); err == nil {
					order <- name
					time.Sleep(time.Millisecond)
					place.Release(served(time.Microsecond))
				}
			}()
			synctest.Wait()
		}
		add("second tier", 1, time.Minute)
		add("soon late", 0, time.Second)
		add("first tier", 0, time.Minute)
		time.Sleep(1100 * time.Millisecond) // "soon late" can't be on time any more
		taken[0].Release(served(time.Microsecond))
		time.Sleep(time.Second)
		assert.Equal(t, <-order, "first tier")
		// Late ones leave places free: all but one are taken, so that the second tier goes first.
		assert.Equal(t, <-order, "second tier")
	})
}

func TestRankFitsItsByte(t *testing.T) {
	now := time.Now()
	last := -1
	for _, tier := range []domain.Tier{0, 1, maxTier} {
		for _, within := range []domain.Tier{0, withinTiers - 1, 255} {
			for _, due := range []time.Time{now.Add(time.Second), now} {
				ask := Ask{Tier: tier, Within: within, FirstByteDue: due}
				rank := int(ask.rank(now, 0))
				assert.Assert(t, rank > last || within == 255, "%d %d: %d", tier, within, rank)
				last = rank
			}
		}
	}
	assert.Equal(t, last, 255)
}

func TestNoTierThatWaitsIsShutOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1)
		taken := b.fill(testSlots)
		ctx, cancel := context.WithCancel(t.Context())
		var served [3]atomic.Int64
		for within := range domain.Tier(3) {
			for range 60 {
				ask := testAsk()
				ask.Within = within
				go func() {
					place, err := b.Acquire(ctx, ask)
					if err != nil {
						return
					}
					served[within].Add(1)
					time.Sleep(10 * time.Millisecond)
					place.Release(capacity.Result{})
				}()
				synctest.Wait()
			}
		}
		for _, place := range taken {
			place.Release(capacity.Result{})
		}
		time.Sleep(105 * time.Millisecond) // while the first tier has waiters, so that about 40 are served
		cancel()
		time.Sleep(time.Second)
		assert.Assert(t, served[0].Load() >= 30, "%v", &served)
		assert.Assert(t, served[1].Load() >= 3 && served[2].Load() >= 3, "%v", &served)
	})
}

func TestOthersPlacesCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 2)
		b.fleet = gossip.Fleet{Known: 2, Heard: 2, Near: 2}
		report := &gossip.Report{From: "m", Loads: []gossip.Load{{Endpoint: "e0", Requests: testSlots}, {Endpoint: "e1", Requests: 1}}}
		b.Heard(report)
		for range testSlots - 1 {
			assert.Equal(t, b.take(testAsk()).Endpoint.ID, domain.EndpointID("e1"))
		}
		got := b.wait(testAsk())
		assert.Equal(t, b.Waiting(), 1)
		// A peer that falls silent no longer counts.
		time.Sleep(gossip.MinReportValidity + time.Second)
		assert.Equal(t, len(got), 0, "nothing serves the queue without Run")
		b.serve()
		assert.NilError(t, <-got)
	})
}

func TestShortWorkUsesTheEndpointsQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1)
		b.fleet = gossip.Fleet{Known: 20, Heard: 20, Near: 7}
		for range 50 {
			place := b.take(testAsk())
			time.Sleep(30 * time.Millisecond)
			place.Release(served(30 * time.Millisecond))
		}
		b.Heard(&gossip.Report{From: "m", Loads: []gossip.Load{{Endpoint: "e0", Requests: testSlots}}})
		for range testSlots {
			ask := testAsk()
			ask.FirstByteDue = time.Now().Add(150 * time.Millisecond)
			b.take(ask)
		}
		assert.Equal(t, b.Waiting(), 0, "what the other node had is likely to have ended")
		// One that can't be on time leaves the places to those that can.
		ask := testAsk()
		ask.FirstByteDue = time.Now()
		b.wait(ask)
		assert.Equal(t, b.Waiting(), 1)
	})
}

func TestNewNodeWaitsForAPlainCallsPlace(t *testing.T) {
	tests := []struct {
		name    string
		tokens  int
		waiting int
	}{
		{"a plain call's place is soon free", 0, 1},
		{"an engine's is not", 300, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t, 1)
				b.fleet = gossip.Fleet{Known: 2, Heard: 2, Near: 2}
				b.Heard(&gossip.Report{From: "m", Loads: []gossip.Load{{Endpoint: "e0", Requests: testSlots}}})
				b.take(testAsk())
				ask := testAsk()
				ask.AnswerTokens = test.tokens
				ask.FirstByteDue = time.Now().Add(300 * time.Millisecond)
				b.wait(ask)
				assert.Equal(t, b.Waiting(), test.waiting)
			})
		})
	}
}

func TestMeanLearnsFromTheFirstSamples(t *testing.T) {
	m := mean{value: 0.5}
	for range 9 {
		m.add(0.03)
	}
	assert.Assert(t, m.value < 0.08, "%v", m.value)
	for range 100 {
		m.add(1)
	}
	assert.Assert(t, m.value > 0.9, "%v", m.value)
}

func TestNodeThatHasStartedIsNotShutOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1)
		b.fleet = gossip.Fleet{Known: 2, Heard: 2, Near: 2}
		b.Heard(&gossip.Report{From: "m", Loads: []gossip.Load{{Endpoint: "e0", Requests: testSlots}}})
		b.take(testAsk())
		b.wait(testAsk())
		assert.Equal(t, b.Waiting(), 1)
	})
}

func TestRequestsThatAnEndpointsMemoryDoesNotHoldWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1)
		b.options.CacheTokens = func(string) int { return 1000 }
		large := func() *Ask {
			ask := testAsk()
			ask.PromptTokens = 600
			return ask
		}
		first := b.take(large())
		got := b.wait(large())
		assert.Equal(t, b.Waiting(), 1)
		first.Release(served(time.Millisecond))
		assert.NilError(t, <-got)
		ask := testAsk()
		ask.PromptTokens = 300
		b.take(ask)
	})
}

func TestCallerThatLeavesTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1)
		b.fill(testSlots)
		ctx, cancel := context.WithCancelCause(t.Context())
		gone := errors.New("gone")
		time.AfterFunc(time.Second, func() { cancel(gone) })
		_, err := b.Acquire(ctx, testAsk())
		assert.ErrorIs(t, err, gone)
		assert.Equal(t, b.Waiting(), 0)
	})
}

func TestPartsCoverEveryEndpoint(t *testing.T) {
	const near, endpoints = 23, 30
	counts := make([]int, endpoints)
	for n := range near {
		for e := range endpoints {
			a := newAccount(&directory.Endpoint{ID: domain.EndpointID(fmt.Sprint("e", e)), DataCentre: "d"}, zerolog.Nop())
			if a.mine(Options{Node: domain.NodeID(fmt.Sprint("n", n)), DataCentre: "d"}, gossip.Fleet{Near: near}) {
				counts[e]++
			}
		}
	}
	for e, n := range counts {
		assert.Assert(t, n > 0, "endpoint %d belongs to nobody's part", e)
	}
	a := newAccount(&directory.Endpoint{ID: "e", DataCentre: "d"}, zerolog.Nop())
	assert.Assert(t, a.mine(Options{Node: "n", DataCentre: "d"}, gossip.Fleet{Near: 1}))
	a = newAccount(a.endpoint, zerolog.Nop())
	assert.Assert(t, !a.mine(Options{Node: "n", DataCentre: "far"}, gossip.Fleet{Near: 1}))
}

func BenchmarkAcquire(b *testing.B) {
	for _, endpoints := range []int{12, 90} {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) {
			list := directory.New()
			for i := range endpoints {
				list.Apply(0, []*directory.Endpoint{{ID: domain.EndpointID(fmt.Sprint("e", i)), Service: "s", DataCentre: "d", Slots: 8}}, nil, 0)
			}
			known := 7
			if endpoints > 12 {
				known = 69
			}
			desk := New(Options{Node: "n", DataCentre: "d"}, list, func() gossip.Fleet { return gossip.Fleet{Known: known, Heard: known, Near: known / 3} }, metrics.NewSet())
			ask := testAsk()
			ask.PromptTokens, ask.AnswerTokens = 600, 300
			b.ReportAllocs()
			for b.Loop() {
				place, err := desk.Acquire(b.Context(), ask)
				if err != nil {
					b.Fatal(err)
				}
				place.Release(served(time.Millisecond))
			}
		})
	}
}

func TestChoosyWaiterDoesNotHoldUpThoseBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 2)
		taken := b.fill(2 * testSlots)
		choosy := testAsk()
		choosy.FirstByteDue = choosy.FirstByteDue.Add(-time.Second) // its turn comes first
		choosy.Excluded = []domain.EndpointID{"e0"}
		first := b.wait(choosy)
		second := b.wait(testAsk())
		for _, place := range taken {
			if place.Endpoint.ID == "e0" {
				place.Release(served(time.Millisecond))
				break
			}
		}
		assert.NilError(t, <-second)
		assert.Equal(t, len(first), 0)
		assert.Equal(t, b.Waiting(), 1)
	})
}
