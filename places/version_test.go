package places

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/directory"
	"hawthornrill.example/hawthornrill/domain"
)

// setVersion lists an endpoint with a software version.
func (f *fixture) setVersion(i int, version string, leaving bool) {
	f.directory.Apply(0, []*directory.Endpoint{{
		ID: domain.EndpointID(fmt.Sprint("e", i)), Service: "s", DataCentre: "d", Slots: testSlots, Version: version, Leaving: leaving,
	}}, nil, 0)
}

func boundRequest(version string) *Request {
	r := testRequest()
	r.Version, r.Resumption = version, true
	return r
}

// newVersionsFixture has an endpoint of version a and two of version b.
func newVersionsFixture(t *testing.T) *fixture {
	f := newFixture(t, 0)
	for i, version := range []string{"a", "b", "b"} {
		f.setVersion(i, version, false)
	}
	return f
}

func TestBoundRequestGetsItsVersionOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newVersionsFixture(t)
		for range 2 * (testSlots + 1) { // one more than its slots at each endpoint
			assert.Equal(t, f.take(boundRequest("b")).Endpoint.Version, "b")
		}
		waits := f.acquireAsync(boundRequest("b"))
		synctest.Wait()
		assert.Equal(t, f.Waiting(), 1, "it waits although the other version has free slots")
		assert.Equal(t, f.take(testRequest()).Endpoint.Version, "a", "it blocks a request that can use these")
		assert.Equal(t, len(waits), 0)
	})
}

// Guards against a request at the head of the queue that can't use a free slot and keeps those behind it from using it.
func TestBoundRequestDoesNotBlockTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newVersionsFixture(t)
		taken := f.fill(3 * testSlots)
		f.take(boundRequest("b"))
		f.take(boundRequest("b"))
		bound := f.acquireAsync(boundRequest("b"))
		free := f.acquireAsync(testRequest())
		synctest.Wait()
		for _, p := range taken {
			if p.Endpoint.Version == "a" {
				p.Release(served(time.Millisecond))
			}
		}
		synctest.Wait()
		assert.NilError(t, <-free)
		assert.Equal(t, len(bound), 0)
	})
}

func TestVersionWithoutEndpointIsRefusedForGood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newVersionsFixture(t)
		_, err := f.Acquire(t.Context(), boundRequest("c"))
		var refusal *Refusal
		assert.ErrorIs(t, err, ErrNoVersion)
		assert.Assert(t, errors.As(err, &refusal) && refusal.RetryAfter == 0)
		tried := boundRequest("a")
		tried.Excluded = []domain.EndpointID{"e0"}
		_, err = f.Acquire(t.Context(), tried)
		assert.ErrorIs(t, err, ErrNoEndpoint)
		assert.Assert(t, errors.As(err, &refusal) && refusal.RetryAfter > 0, "the endpoint is there")
	})
}

// Guards against a request that waits until its deadline for endpoints that have left.
func TestWaiterIsRefusedOnceItsVersionHasLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newVersionsFixture(t)
		f.fill(3 * testSlots)
		for _, version := range []string{"a", "b", "b"} {
			f.take(boundRequest(version))
		}
		bound, other := f.acquireAsync(boundRequest("a")), f.acquireAsync(boundRequest("b"))
		synctest.Wait()
		f.setVersion(0, "a", true)
		start := time.Now()
		f.serveQueues()
		assert.ErrorIs(t, <-bound, ErrNoVersion)
		assert.Assert(t, time.Since(start) < time.Second)
		assert.Equal(t, len(other), 0)
		assert.Assert(t, !f.Serves("s", "a") && f.Serves("s", "b"))
	})
}

func TestUnknownVersionIsNotThatOfARequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2)
		_, err := f.Acquire(t.Context(), boundRequest("a"))
		assert.ErrorIs(t, err, ErrNoVersion)
	})
}

// Guards against streams that have begun waiting behind all new requests, since their latency objective has long passed.
func TestContinuingRequestCountsAsOnTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newVersionsFixture(t)
		taken := f.fill(3 * testSlots)
		for _, version := range []string{"a", "b", "b"} {
			f.take(boundRequest(version))
		}
		late := boundRequest("a")
		late.FirstByteDue = time.Now().Add(-time.Second)
		bound := f.acquireAsync(late)
		var others []chan error
		for range 4 {
			others = append(others, f.acquireAsync(testRequest()))
		}
		synctest.Wait()
		released := 0
		for _, p := range taken {
			if p.Endpoint.Version == "a" && released < 1 {
				p.Release(served(time.Millisecond))
				released++
			}
		}
		synctest.Wait()
		assert.NilError(t, <-bound)
		for _, o := range others {
			assert.Equal(t, len(o), 0)
		}
	})
}

func TestContinuingRequestWaitsForSecondsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newVersionsFixture(t)
		f.fill(3 * testSlots)
		f.take(boundRequest("a"))
		start := time.Now()
		_, err := f.Acquire(t.Context(), boundRequest("a"))
		assert.ErrorIs(t, err, ErrOverloaded)
		assert.Equal(t, time.Since(start), maxResumptionWait)
		urgent := boundRequest("a")
		urgent.Urgent = true
		start = time.Now()
		_, err = f.Acquire(t.Context(), urgent)
		assert.ErrorIs(t, err, ErrOverloaded)
		assert.Assert(t, time.Since(start) > time.Minute, "its caller is receiving the stream")
	})
}
