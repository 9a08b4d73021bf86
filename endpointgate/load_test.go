package endpointgate

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/directory"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/gossip"
	"hawthornrill.example/hawthornrill/places"
)

const (
	loadEndpoints   = 8
	loadSlots       = 8
	loadServiceTime = 100 * time.Millisecond
	loadObjective   = 400 * time.Millisecond
	loadPatience    = 5 * time.Second
	loadLength      = 30 * time.Second
	loadRest        = 3 * time.Second
	loadTiers       = 3
)

// outage is a period in which the first endpoints reject all requests and ask for loadRest.
type outage struct {
	from, to  time.Duration
	endpoints int
}

// loadRun is one node before endpoints that reject for a while, under a load that needs the given fraction of their slots.
type loadRun struct {
	random    *rand.Rand
	outage    outage
	keepsRest bool
	started   time.Time
	gate      *Gate
	slots     *places.Allocator

	mu sync.Mutex
	// onTime and asked count requests by tier.
	onTime, asked [loadTiers]int
	rejected      int
}

func newLoadRun(seed uint64, keepsRest bool, o outage) *loadRun {
	r := &loadRun{random: rand.New(rand.NewPCG(seed, 0)), outage: o, keepsRest: keepsRest, started: time.Now()}
	list := directory.New()
	for i := range loadEndpoints {
		list.Apply(0, []*directory.Endpoint{{ID: loadEndpointID(i), Service: "s", DataCentre: "d", Slots: loadSlots}}, nil, 0)
	}
	r.gate = New(Config{
		Directory: list, Limits: noLimits{}, Clock: func() boottime.Instant { return boottime.Instant(time.Since(r.started)) },
		Log: zerolog.Nop(), Metrics: metrics.NewSet(),
	})
	one := func() gossip.Fleet { return gossip.Fleet{Known: 1, Heard: 1, Near: 1} }
	r.slots = places.New(places.Options{Node: "n", DataCentre: "d", Gate: r.gate}, list, one, metrics.NewSet())
	return r
}

func loadEndpointID(i int) domain.EndpointID { return domain.EndpointID(fmt.Sprint("e", i)) }

// play sends requests for loadLength and waits for their ends.
func (r *loadRun) play(t *testing.T, load float64) {
	var background, callers sync.WaitGroup
	background.Go(func() { _ = r.slots.Run(t.Context()) })
	gap := float64(loadServiceTime) / (load * loadEndpoints * loadSlots)
	for id := 0; time.Since(r.started) < loadLength; id++ {
		time.Sleep(time.Duration(r.random.ExpFloat64() * gap))
		tier := id % loadTiers
		callers.Go(func() { r.call(t, fmt.Sprint(id), tier) })
	}
	callers.Wait()
}

// call is a caller who comes back once when it is told to.
func (r *loadRun) call(t *testing.T, id string, tier int) {
	began := time.Now()
	served, retryAfter := r.serve(t, id, tier, began)
	if left := loadPatience - time.Since(began); !served && retryAfter > 0 && left > 0 {
		time.Sleep(min(retryAfter, left/3))
		served, _ = r.serve(t, id+"again", tier, began)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asked[tier]++
	if served && time.Since(began) <= loadObjective {
		r.onTime[tier]++
	}
}

// serve is one attempt of a caller, which may go to two endpoints.
func (r *loadRun) serve(t *testing.T, id string, tier int, began time.Time) (served bool, retryAfter time.Duration) {
	request := &places.Request{
		ID: id, Service: "s", Tier: domain.Tier(tier), FirstByteDue: began.Add(loadObjective), Due: began.Add(loadPatience),
	}
	for range 2 {
		place, err := r.slots.Acquire(t.Context(), request)
		var refusal *places.Refusal
		if errors.As(err, &refusal) {
			return false, refusal.RetryAfter
		}
		if r.send(place, id) {
			return true, 0
		}
		request.Excluded = append(request.Excluded, place.Endpoint.ID)
	}
	return false, 100 * time.Millisecond
}

// send sends the request and releases its place. It reports whether the endpoint ran it.
func (r *loadRun) send(place *places.Place, id string) bool {
	var at int
	_, _ = fmt.Sscanf(string(place.Endpoint.ID), "e%d", &at) // all endpoints have such names
	now := time.Since(r.started)
	rejects := at < r.outage.endpoints && now >= r.outage.from && now < r.outage.to
	if rejects {
		r.mu.Lock()
		r.rejected++
		r.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
		if r.keepsRest {
			r.gate.Record(place.Endpoint, id, Notice{Rest: loadRest})
		}
		place.Release(capacity.Result{Dispatched: true, Unreachable: true})
		return false
	}
	time.Sleep(loadServiceTime)
	place.Release(capacity.Result{Dispatched: true, Complete: true, FirstToken: loadServiceTime, Total: loadServiceTime})
	return true
}

// goodput is the share of the tier's requests that were answered on time.
func (r *loadRun) goodput(tier int) float64 { return float64(r.onTime[tier]) / float64(r.asked[tier]) }

// Guards against rests costing callers more than they must: while some endpoints rest the others serve all that they have room
// for, and after the rest of all endpoints callers are served as soon as the ramp has ended.
func TestGoodputUnderRests(t *testing.T) {
	allRest := (loadRest + maxJitter + rampTime).Seconds() / loadLength.Seconds()
	tests := []struct {
		name   string
		load   float64
		outage outage
		floor  float64
	}{
		{"a quarter of the endpoints, moderate load", 0.5, outage{5 * time.Second, 14 * time.Second, 2}, 0.99},
		{"a quarter of the endpoints, high load", 0.7, outage{5 * time.Second, 14 * time.Second, 2}, 0.99},
		{"all endpoints", 0.5, outage{5 * time.Second, 7 * time.Second, loadEndpoints}, 1 - allRest},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			kept, keptRejections := goodputUnder(t, test.load, test.outage, true)
			ignored, ignoredRejections := goodputUnder(t, test.load, test.outage, false)
			t.Logf("on time by tier: %.3f, with rests ignored %.3f; rejections: %d, ignored %d", kept, ignored, keptRejections,
				ignoredRejections)
			for tier := range loadTiers {
				assert.Assert(t, kept[tier] >= test.floor, "tier %d: %v, at least %v", tier, kept[tier], test.floor)
			}
			assert.Assert(t, keptRejections <= ignoredRejections)
		})
	}
}

// goodputUnder returns the mean goodput by tier over several seeds, and the sum of the rejections.
func goodputUnder(t *testing.T, load float64, o outage, keepsRest bool) (goodput [loadTiers]float64, rejected int) {
	const seeds = 2
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			r := newLoadRun(seed, keepsRest, o)
			r.play(t, load)
			rejected += r.rejected
			for tier := range loadTiers {
				goodput[tier] += r.goodput(tier) / seeds
			}
		})
	}
	return goodput, rejected
}
