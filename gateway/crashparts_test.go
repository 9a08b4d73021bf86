package gateway

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/gossip"
	"hawthornrill.example/hawthornrill/poison"
	"hawthornrill.example/hawthornrill/routetable"
)

const crashPart = 77

// identify makes the gateway know that the part ends endpoints, for the test's organisation and service.
func (f *fixture) identify() {
	scope := poison.Scope{Organisation: "o", Service: "s"}
	f.gateway.deps.CrashParts.ApplyReport(&gossip.Report{
		From: domain.NodeID("peer"), CrashParts: []gossip.CrashParts{{Scope: scope.Hash(), Parts: []uint64{crashPart}}},
	})
}

// withPrompt gives a request a prompt that has the part.
func withPrompt(r *http.Request) { r.Header["X-Part"] = []string{"1", "77", "2"} }

func assertRefused(t *testing.T, got result) {
	t.Helper()
	assert.Equal(t, got.Status, http.StatusServiceUnavailable)
	assert.Equal(t, got.Header.Get("Retry-After"), "60.000", "%s", got.Body)
}

func TestPromptWithIdentifiedPartIsRefused(t *testing.T) {
	f := newFixture(t, nil, streaming)
	f.identify()
	assertRefused(t, f.call(withPrompt))
	assert.Equal(t, f.dispatches.Load(), int64(0))
	last := f.call(func(r *http.Request) { r.Header["X-Part"] = []string{"1", "77"} })
	assert.Equal(t, last.Status, http.StatusOK, "the last part is the request's own")
	assert.Equal(t, f.call(nil).Status, http.StatusOK, "a request without a prompt")
}

// Guards against a part that is identified while a request with it is on its way: right before the dispatch, in the queue, between two
// attempts, and at an endpoint that has not begun to answer.
func TestPartIdentifiedMeanwhileStopsTheRequest(t *testing.T) {
	t.Run("before the dispatch", func(t *testing.T) {
		f := newFixture(t, nil, streaming)
		f.onSecondAgeCheck(f.identify)
		assertRefused(t, f.call(withPrompt))
		assert.Equal(t, f.dispatches.Load(), int64(0))
	})
	t.Run("in the queue", func(t *testing.T) {
		release := make(chan struct{})
		f := newFixture(t, nil, func(w http.ResponseWriter, r *http.Request) {
			<-release
			streaming(w, r)
		})
		defer close(release)
		for range 4 {
			go f.call(nil)
		}
		f.await(func() bool { return f.dispatches.Load() == 4 })
		answered := make(chan result)
		go func() { answered <- f.call(withPrompt) }()
		f.await(func() bool { return f.gateway.deps.Places.Waiting() == 1 })
		f.identify()
		assertRefused(t, <-answered)
		assert.Equal(t, f.dispatches.Load(), int64(4))
	})
	t.Run("between two attempts", func(t *testing.T) {
		var f *fixture
		crash := func(http.ResponseWriter, *http.Request) {
			f.identify()
			abortConnection()
		}
		f = newFixture(t, nil, crash, crash)
		got := f.call(withPrompt)
		assert.Equal(t, got.Status, http.StatusBadGateway, "it has run")
		assert.Equal(t, f.dispatches.Load(), int64(1))
	})
	t.Run("at an endpoint", func(t *testing.T) {
		left := make(chan struct{})
		f := newFixture(t, func(r *routetable.Route) { r.MaxEndpoints = 1 }, func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			close(left)
		})
		answered := make(chan result)
		go func() { answered <- f.call(withPrompt) }()
		f.await(func() bool { return f.dispatches.Load() == 1 })
		f.identify()
		assert.Equal(t, (<-answered).Status, http.StatusBadGateway)
		select {
		case <-left:
		case <-time.After(10 * time.Second):
			t.Fatal("the endpoint still works on the request")
		}
	})
}

// Guards against a stream being ended although its answer has begun, which shows that the part does not end endpoints.
func TestBegunAnswerIsNotStoppedByAnIdentification(t *testing.T) {
	var f *fixture
	f = newFixture(t, nil, func(w http.ResponseWriter, r *http.Request) {
		writeEvents(w, 1, 2)
		time.Sleep(50 * time.Millisecond)
		f.identify()
		time.Sleep(50 * time.Millisecond)
		writeEvents(w, 3, 3)
	})
	got := f.call(withPrompt)
	assert.NilError(t, got.Err)
	assert.Equal(t, got.Body, threeEvents)
	assert.Equal(t, f.call(withPrompt).Status, http.StatusOK, "the answer has cleared the part")
}

// Guards against a request with an identified part being dispatched by another node, or for a stream that it resumes.
func TestIdentifiedPartIsRefusedOnAllWays(t *testing.T) {
	t.Run("forwarded by another node", func(t *testing.T) {
		helper := newFixture(t, nil, streaming)
		helper.identify()
		f := cutOff(t, nil)
		f.helpedBy("helper", helper.asHelper())
		assert.Equal(t, f.call(withPrompt).Status, http.StatusServiceUnavailable)
		assert.Equal(t, helper.dispatches.Load(), int64(0))
	})
	t.Run("forwarded to another node", func(t *testing.T) {
		helper := newFixture(t, nil, streaming)
		f := cutOff(t, nil)
		f.helpedBy("helper", helper.asHelper())
		f.identify()
		assertRefused(t, f.call(withPrompt))
		assert.Equal(t, helper.dispatches.Load(), int64(0))
	})
	t.Run("resumption", func(t *testing.T) {
		f := newFixture(t, nil, streaming)
		f.ofVersion("e0", "v1")
		f.began("0", "s", "v1")
		f.identify()
		got := f.call(func(r *http.Request) {
			withPrompt(r)
			r.Header.Set("X-Last", "2")
			r.Header.Set("X-Resumes", "0")
		})
		assertRefused(t, got)
		assert.Equal(t, f.dispatches.Load(), int64(0))
	})
}

// Guards against a content being refused because its answers broke off: endpoints that live, or whose answers had got far, say nothing against it.
func TestContentOfBrokenAnswersIsNotRefused(t *testing.T) {
	for _, test := range []struct {
		name   string
		events int
		probe  error
	}{{"answers had got far", poison.SoundEvents, poison.ErrEnded}, {"endpoints live", 0, nil}} {
		t.Run(test.name, func(t *testing.T) {
			breakOff := func(w http.ResponseWriter, _ *http.Request) {
				if test.events > 0 {
					writeEvents(w, 1, test.events)
				}
				abortConnection()
			}
			f := newFixture(t, oneEndpointEach, breakOff, breakOff, breakOff, breakOff)
			f.probe = test.probe
			f.start()
			for i := range 8 {
				f.call(attemptNumber(i))
			}
			time.Sleep(4 * time.Second) // until the evidence has been evaluated
			assert.Equal(t, f.gateway.deps.CrashParts.Identified(), 0)
		})
	}
}
