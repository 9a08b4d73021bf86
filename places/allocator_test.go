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

// fixture is an allocator with its directory and endpoints.
type fixture struct {
	*Allocator
	t         *testing.T
	directory *directory.Directory
	fleet     gossip.Fleet
}

func newFixture(t *testing.T, endpoints int) *fixture {
	f := &fixture{t: t, directory: directory.New(), fleet: gossip.Fleet{Known: 1, Heard: 1, Near: 1}}
	for i := range endpoints {
		f.setEndpoint(i, false)
	}
	f.Allocator = New(Options{Node: "n", DataCentre: "d"}, f.directory, func() gossip.Fleet { return f.fleet }, metrics.NewSet())
	return f
}

func (f *fixture) setEndpoint(i int, leaving bool) {
	f.directory.Apply(0, []*directory.Endpoint{{
		ID: domain.EndpointID(fmt.Sprint("e", i)), Service: "s", DataCentre: "d", Slots: testSlots, Leaving: leaving,
	}}, nil, 0)
}

func testRequest() *Request {
	now := time.Now()
	return &Request{Service: "s", FirstByteDue: now.Add(time.Minute), Due: now.Add(2 * time.Minute)}
}

// take acquires a place and fails the test on an error.
func (f *fixture) take(request *Request) *Place {
	f.t.Helper()
	place, err := f.Acquire(f.t.Context(), request)
	assert.NilError(f.t, err)
	return place
}

// fill acquires n places.
func (f *fixture) fill(n int) []*Place {
	var taken []*Place
	for range n {
		taken = append(taken, f.take(testRequest()))
	}
	return taken
}

func served(first time.Duration) capacity.Result {
	return capacity.Result{Dispatched: true, Complete: true, FirstToken: first, Total: first}
}

// acquireAsync calls Acquire in the background and returns its result.
func (f *fixture) acquireAsync(request *Request) chan error {
	got := make(chan error, 1)
	go func() {
		_, err := f.Acquire(f.t.Context(), request)
		got <- err
	}()
	synctest.Wait()
	return got
}

func TestAcquireWaitsWhenAllSlotsAreTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2)
		taken := f.fill(2 * testSlots)
		got := f.acquireAsync(testRequest())
		assert.Equal(t, f.Waiting(), 1)
		taken[3].Release(served(time.Millisecond))
		taken[3].Release(served(time.Millisecond)) // only the first call has an effect
		assert.NilError(t, <-got)
		assert.Equal(t, f.Waiting(), 0)
		f.acquireAsync(testRequest())
		assert.Equal(t, f.Waiting(), 1)
	})
}

func TestRefusesAtOnceWhenPredictedWaitIsTooLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		for _, place := range f.fill(testSlots) {
			time.Sleep(20 * time.Second)
			place.Release(served(time.Second)) // the mean hold time becomes long
		}
		f.fill(testSlots)
		start := time.Now()
		request := testRequest()
		request.FirstByteDue = start.Add(500 * time.Millisecond)
		_, err := f.Acquire(f.t.Context(), request)
		var refusal *Refusal
		assert.Assert(t, errors.As(err, &refusal) && errors.Is(err, ErrOverloaded))
		assert.Assert(t, refusal.RetryAfter >= minRetryAfter && refusal.RetryAfter <= request.Due.Sub(start)/3)
		assert.Equal(t, time.Since(start), time.Duration(0))
	})
}

func TestLateRequestStopsWaitingEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		f.fill(testSlots)
		request := testRequest()
		request.FirstByteDue = time.Now().Add(-time.Second)
		start := time.Now()
		_, err := f.Acquire(f.t.Context(), request)
		assert.ErrorIs(t, err, ErrOverloaded)
		assert.Assert(t, time.Since(start) <= maxLateWait)
		assert.Equal(t, f.Waiting(), 0)
	})
}

func TestQueueOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		taken := f.fill(testSlots)
		order := make(chan string, 10)
		add := func(name string, tier domain.Tier, due time.Duration) {
			request := testRequest()
			request.Tier, request.ID, request.FirstByteDue = tier, name, time.Now().Add(due)
			go func() {
				if place, err := f.Acquire(f.t.Context(), request); err == nil {
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
		time.Sleep(1100 * time.Millisecond) // "soon late" can no longer be on time
		taken[0].Release(served(time.Microsecond))
		time.Sleep(time.Second)
		assert.Equal(t, <-order, "first tier")
		// Late requests leave a reserve: three of the four slots are still taken, so the second tier goes first.
		assert.Equal(t, <-order, "second tier")
	})
}

func TestRankFitsInByte(t *testing.T) {
	now := time.Now()
	last := -1
	for _, tier := range []domain.Tier{0, 1, maxTier} {
		for _, subTier := range []domain.Tier{0, subTiers - 1, 255} {
			for _, due := range []time.Time{now.Add(time.Second), now} {
				request := Request{Tier: tier, SubTier: subTier, FirstByteDue: due}
				rank := int(request.rank(now, 0))
				assert.Assert(t, rank > last || subTier == 255, "%d %d: %d", tier, subTier, rank)
				last = rank
			}
		}
	}
	assert.Equal(t, last, 255)
}

func TestLowerTiersAreNotStarved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		taken := f.fill(testSlots)
		ctx, cancel := context.WithCancel(t.Context())
		var served [3]atomic.Int64
		for subTier := range domain.Tier(3) {
			for range 60 {
				request := testRequest()
				request.SubTier = subTier
				go func() {
					place, err := f.Acquire(ctx, request)
					if err != nil {
						return
					}
					served[subTier].Add(1)
					time.Sleep(10 * time.Millisecond)
					place.Release(capacity.Result{})
				}()
				synctest.Wait()
			}
		}
		for _, place := range taken {
			place.Release(capacity.Result{})
		}
		time.Sleep(105 * time.Millisecond) // the first tier still has waiters; about 40 requests are served
		cancel()
		time.Sleep(time.Second)
		assert.Assert(t, served[0].Load() >= 30, "%v", &served)
		assert.Assert(t, served[1].Load() >= 3 && served[2].Load() >= 3, "%v", &served)
	})
}

func TestPeerRequestsCountAgainstSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2)
		f.fleet = gossip.Fleet{Known: 2, Heard: 2, Near: 2}
		report := &gossip.Report{From: "m", Loads: []gossip.Load{{Endpoint: "e0", Requests: testSlots}, {Endpoint: "e1", Requests: 1}}}
		f.ApplyReport(report)
		for range testSlots - 1 {
			assert.Equal(t, f.take(testRequest()).Endpoint.ID, domain.EndpointID("e1"))
		}
		got := f.acquireAsync(testRequest())
		assert.Equal(t, f.Waiting(), 1)
		// A peer whose reports stop no longer counts.
		time.Sleep(gossip.MinReportValidity + time.Second)
		assert.Equal(t, len(got), 0, "the queue is not served without Run")
		f.serveQueues()
		assert.NilError(t, <-got)
	})
}

func TestShortWorkUsesEndpointQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		f.fleet = gossip.Fleet{Known: 20, Heard: 20, Near: 7}
		for range 50 {
			place := f.take(testRequest())
			time.Sleep(30 * time.Millisecond)
			place.Release(served(30 * time.Millisecond))
		}
		f.ApplyReport(&gossip.Report{From: "m", Loads: []gossip.Load{{Endpoint: "e0", Requests: testSlots}}})
		for range testSlots {
			request := testRequest()
			request.FirstByteDue = time.Now().Add(150 * time.Millisecond)
			f.take(request)
		}
		assert.Equal(t, f.Waiting(), 0, "the peer's requests have probably ended")
		// A request that can't be on time leaves the slots to those that can.
		request := testRequest()
		request.FirstByteDue = time.Now()
		f.acquireAsync(request)
		assert.Equal(t, f.Waiting(), 1)
	})
}

func TestDefaultHoldTimeByKind(t *testing.T) {
	tests := []struct {
		name    string
		tokens  int
		waiting int
	}{
		{"plain call waits", 0, 1},
		{"engine request is refused", 300, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, 1)
				f.fleet = gossip.Fleet{Known: 2, Heard: 2, Near: 2}
				f.ApplyReport(&gossip.Report{From: "m", Loads: []gossip.Load{{Endpoint: "e0", Requests: testSlots}}})
				f.take(testRequest())
				request := testRequest()
				request.AnswerTokens = test.tokens
				request.FirstByteDue = time.Now().Add(300 * time.Millisecond)
				f.acquireAsync(request)
				assert.Equal(t, f.Waiting(), test.waiting)
			})
		})
	}
}

func TestMeanConvergesWithFirstSamples(t *testing.T) {
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

func TestNewNodeOvercommitsFullEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		f.fleet = gossip.Fleet{Known: 2, Heard: 2, Near: 2}
		f.ApplyReport(&gossip.Report{From: "m", Loads: []gossip.Load{{Endpoint: "e0", Requests: testSlots}}})
		f.take(testRequest())
		f.acquireAsync(testRequest())
		assert.Equal(t, f.Waiting(), 1)
	})
}

func TestWaitsForEndpointCacheMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		f.options.CacheTokens = func(string) int { return 1000 }
		large := func() *Request {
			request := testRequest()
			request.PromptTokens = 600
			return request
		}
		first := f.take(large())
		got := f.acquireAsync(large())
		assert.Equal(t, f.Waiting(), 1)
		first.Release(served(time.Millisecond))
		assert.NilError(t, <-got)
		request := testRequest()
		request.PromptTokens = 300
		f.take(request)
	})
}

func TestCancelledCallerLeavesQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		f.fill(testSlots)
		ctx, cancel := context.WithCancelCause(t.Context())
		errCancelled := errors.New("cancelled")
		time.AfterFunc(time.Second, func() { cancel(errCancelled) })
		_, err := f.Acquire(ctx, testRequest())
		assert.ErrorIs(t, err, errCancelled)
		assert.Equal(t, f.Waiting(), 0)
	})
}

func TestSubsetsCoverEveryEndpoint(t *testing.T) {
	const near, endpoints = 23, 30
	counts := make([]int, endpoints)
	for n := range near {
		for e := range endpoints {
			ep := newTrackedEndpoint(&directory.Endpoint{ID: domain.EndpointID(fmt.Sprint("e", e)), DataCentre: "d"}, zerolog.Nop())
			if ep.inSubset(Options{Node: domain.NodeID(fmt.Sprint("n", n)), DataCentre: "d"}, gossip.Fleet{Near: near}) {
				counts[e]++
			}
		}
	}
	for e, n := range counts {
		assert.Assert(t, n > 0, "endpoint %d is in no node's subset", e)
	}
	ep := newTrackedEndpoint(&directory.Endpoint{ID: "e", DataCentre: "d"}, zerolog.Nop())
	assert.Assert(t, ep.inSubset(Options{Node: "n", DataCentre: "d"}, gossip.Fleet{Near: 1}))
	ep = newTrackedEndpoint(ep.endpoint, zerolog.Nop())
	assert.Assert(t, !ep.inSubset(Options{Node: "n", DataCentre: "far"}, gossip.Fleet{Near: 1}))
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
			allocator := New(
				Options{Node: "n", DataCentre: "d"}, list,
				func() gossip.Fleet { return gossip.Fleet{Known: known, Heard: known, Near: known / 3} }, metrics.NewSet(),
			)
			request := testRequest()
			request.PromptTokens, request.AnswerTokens = 600, 300
			b.ReportAllocs()
			for b.Loop() {
				place, err := allocator.Acquire(b.Context(), request)
				if err != nil {
					b.Fatal(err)
				}
				place.Release(served(time.Millisecond))
			}
		})
	}
}

func TestBlockedWaiterDoesNotBlockOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2)
		taken := f.fill(2 * testSlots)
		restricted := testRequest()
		restricted.FirstByteDue = restricted.FirstByteDue.Add(-time.Second) // it is at the head of the queue
		restricted.Excluded = []domain.EndpointID{"e0"}
		first := f.acquireAsync(restricted)
		second := f.acquireAsync(testRequest())
		for _, place := range taken {
			if place.Endpoint.ID == "e0" {
				place.Release(served(time.Millisecond))
				break
			}
		}
		assert.NilError(t, <-second)
		assert.Equal(t, len(first), 0)
		assert.Equal(t, f.Waiting(), 1)
	})
}
