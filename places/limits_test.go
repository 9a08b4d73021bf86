package places

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/directory"
	"hawthornrill.example/hawthornrill/domain"
)

// fakeLimits holds the number of requests left per endpoint; endpoints that are not listed are unlimited.
type fakeLimits struct {
	left   map[domain.EndpointID]int
	barred map[domain.EndpointID]bool
}

func (a *fakeLimits) Bars(e *directory.Endpoint) bool { return a.barred[e.ID] }

func (a *fakeLimits) Allows(e *directory.Endpoint) bool {
	left, limited := a.left[e.ID]
	return !a.barred[e.ID] && (!limited || left > 0)
}

func (a *fakeLimits) Take(e *directory.Endpoint) float64 {
	if _, limited := a.left[e.ID]; !limited {
		return 0
	}
	a.left[e.ID]--
	return 4
}

func newLimitedFixture(t *testing.T, endpoints int, limits *fakeLimits) *fixture {
	f := newFixture(t, endpoints)
	f.options.Limits = limits
	return f
}

func TestEndpointLimitIsRespected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLimitedFixture(t, 2, &fakeLimits{left: map[domain.EndpointID]int{"e0": 1}})
		taken := map[domain.EndpointID]int{}
		for _, place := range f.fill(testSlots + 1) {
			taken[place.Endpoint.ID]++
			if place.Endpoint.ID == "e0" {
				assert.Equal(t, place.Limit, 4.0)
			}
		}
		assert.DeepEqual(t, taken, map[domain.EndpointID]int{"e0": 1, "e1": testSlots})
	})
}

func TestRequestWaitsForEndpointLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limits := &fakeLimits{left: map[domain.EndpointID]int{"e0": 0}}
		f := newLimitedFixture(t, 1, limits)
		go func() { _ = f.Run(t.Context()) }()
		got := f.acquireAsync(testRequest())
		assert.Equal(t, f.Waiting(), 1)
		f.mu.Lock()
		limits.left["e0"] = 1
		f.mu.Unlock()
		time.Sleep(queuePollInterval)
		assert.NilError(t, <-got)
	})
}

func TestBarredEndpointIsNotWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLimitedFixture(t, 1, &fakeLimits{barred: map[domain.EndpointID]bool{"e0": true}})
		_, err := f.Acquire(t.Context(), testRequest())
		assert.ErrorIs(t, err, ErrNoEndpoint)
	})
}
