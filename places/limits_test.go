package places

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/directory"
	"hawthornrill.example/hawthornrill/domain"
)

// allowances are what a node may still send to endpoints; those that are missing have no limit.
type allowances struct {
	left   map[domain.EndpointID]int
	barred map[domain.EndpointID]bool
}

func (a *allowances) Bars(e *directory.Endpoint) bool { return a.barred[e.ID] }

func (a *allowances) Allows(e *directory.Endpoint) bool {
	left, limited := a.left[e.ID]
	return !a.barred[e.ID] && (!limited || left > 0)
}

func (a *allowances) Take(e *directory.Endpoint) float64 {
	if _, limited := a.left[e.ID]; !limited {
		return 0
	}
	a.left[e.ID]--
	return 4
}

func newLimitedBench(t *testing.T, endpoints int, limits *allowances) *bench {
	b := newBench(t, endpoints)
	b.options.Limits = limits
	return b
}

func TestLimitedEndpointGetsWhatItsLimitAllows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newLimitedBench(t, 2, &allowances{left: map[domain.EndpointID]int{"e0": 1}})
		taken := map[domain.EndpointID]int{}
		for _, place := range b.fill(testSlots + 1) {
			taken[place.Endpoint.ID]++
			if place.Endpoint.ID == "e0" {
				assert.Equal(t, place.Limit, 4.0)
			}
		}
		assert.DeepEqual(t, taken, map[domain.EndpointID]int{"e0": 1, "e1": testSlots})
	})
}

func TestRequestWaitsUntilALimitAllowsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limits := &allowances{left: map[domain.EndpointID]int{"e0": 0}}
		b := newLimitedBench(t, 1, limits)
		go func() { _ = b.Run(t.Context()) }()
		got := b.wait(testAsk())
		assert.Equal(t, b.Waiting(), 1)
		b.mu.Lock()
		limits.left["e0"] = 1
		b.mu.Unlock()
		time.Sleep(serveEvery)
		assert.NilError(t, <-got)
	})
}

func TestEndpointWhoseLimitIsOtherNodesIsNotWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newLimitedBench(t, 1, &allowances{barred: map[domain.EndpointID]bool{"e0": true}})
		_, err := b.Acquire(t.Context(), testAsk())
		assert.ErrorIs(t, err, ErrNoEndpoint)
	})
}
