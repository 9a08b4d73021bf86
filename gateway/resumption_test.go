package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/origin"
	"hawthornrill.example/hawthornrill/routetable"
)

const (
	twoEvents = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"
	thirdOnly = "id: 3\ndata: 3\n\n"
)

// ofVersion gives an endpoint a software version.
func (f *fixture) ofVersion(id domain.EndpointID, version string) {
	for _, listed := range f.directory.Current().Service("s") {
		if listed.ID == id {
			e := *listed
			e.Version, e.Born = version, listed.Born+1
			f.list(&e)
		}
	}
}

// streaming sends events from the one after the last that the request names to the third.
func streaming(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("X-Last") == "2" {
		writeEvents(w, 3, 3)
		return
	}
	writeEvents(w, 1, 3)
}

// breaking sends two events and breaks off.
func breaking(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("X-Last") == "" {
		writeEvents(w, 1, 2)
	}
	abortConnection()
}

// began records that the attempt with the id began at the version.
func (f *fixture) began(id, service, version string) {
	request := f.request(nil)
	request.RequestURI = request.URL.RequestURI()
	content := (&task{request: request}).streamContent()
	f.gateway.deps.Origins.Begin(origin.NewKey("o", content, id), origin.Origin{Service: service, Version: version}, "e", time.Minute)
}

// attemptNumber gives a request an id of its own.
func attemptNumber(n int) func(*http.Request) {
	return func(r *http.Request) { r.Header.Set("X-Id", fmt.Sprint("attempt ", n)) }
}

// resumption makes a request resume the stream of an attempt after its second event.
func resumption(attempt string) func(*http.Request) {
	return func(r *http.Request) {
		r.Header.Set("X-Id", "later")
		r.Header.Set("X-Last", "2")
		if attempt != "" {
			r.Header.Set("X-Resumes", attempt)
		}
	}
}

// Guards against a stream that continues within its response at an endpoint of another version.
func TestBrokenStreamGoesOnAtItsVersionOnly(t *testing.T) {
	f := newFixture(t, func(r *routetable.Route) { r.MaxEndpoints = 9 }, breaking, streaming, streaming, streaming)
	for _, other := range []domain.EndpointID{"e1", "e2", "e3"} {
		f.ofVersion(other, "v2")
	}
	resumed := 0
	for i := range 20 {
		got := f.call(attemptNumber(i))
		if got.Err != nil {
			assert.Assert(t, strings.HasPrefix(got.Body, twoEvents) && !strings.Contains(got.Body, thirdOnly), got.Body)
			resumed++
		}
	}
	assert.Assert(t, resumed > 0, "no stream broke")
	f.ofVersion("e1", "v1")
	for i := range 20 {
		got := f.call(attemptNumber(20 + i))
		assert.NilError(t, got.Err)
		assert.Equal(t, got.Body, threeEvents)
	}
}

func TestAttemptBeforeTheFirstEventIsFree(t *testing.T) {
	f := newFixture(t, nil, func(w http.ResponseWriter, _ *http.Request) { abortConnection() }, streaming)
	f.ofVersion("e1", "v2")
	for i := range 20 {
		got := f.call(attemptNumber(i))
		assert.NilError(t, got.Err)
		assert.Equal(t, got.Body, threeEvents)
	}
}

func TestResumptionGoesToTheVersionThatBeganTheStream(t *testing.T) {
	f := newFixture(t, nil, streaming, streaming, streaming)
	f.ofVersion("e1", "v2")
	f.ofVersion("e2", "v2")
	f.began("1", "s", "v1")
	for range 20 {
		got := f.call(resumption("1"))
		assert.Equal(t, got.Status, http.StatusOK)
		assert.Equal(t, got.Body, thirdOnly)
	}
	assert.Equal(t, f.dispatches.Load(), int64(20))
	assert.Equal(t, f.dispatchesTo("e0"), 20)
}

// Guards against a node that takes a version that it does not know for one that does not matter.
func TestResumptionOfUnknownOriginIsRefused(t *testing.T) {
	f := newFixture(t, nil, streaming)
	for _, attempt := range []string{"1", ""} {
		got := f.call(resumption(attempt))
		assert.Equal(t, got.Status, http.StatusServiceUnavailable)
		assert.Equal(t, got.Header.Get("Retry-After"), "", "a promise that nobody can keep")
		assert.Assert(t, strings.Contains(got.Body, "not_run"))
	}
	assert.Equal(t, f.dispatches.Load(), int64(0))
}

func TestResumptionWithoutAttemptGoesByContent(t *testing.T) {
	f := newFixture(t, nil, streaming, streaming)
	f.ofVersion("e1", "v2")
	f.began("1", "s", "v2")
	for range 10 {
		assert.Equal(t, f.call(resumption("")).Body, thirdOnly)
	}
	assert.Equal(t, f.dispatchesTo("e0"), 0)
	f.began("2", "s", "v1")
	assert.Equal(t, f.call(resumption("")).Status, http.StatusServiceUnavailable)
	assert.Equal(t, f.call(resumption("1")).Body, thirdOnly)
}

func TestAttemptWithoutLastEventIsBound(t *testing.T) {
	f := newFixture(t, nil, streaming, streaming)
	f.ofVersion("e1", "v2")
	f.began("1", "s", "v2")
	for range 10 {
		got := f.call(func(r *http.Request) { r.Header.Set("X-Resumes", "1") })
		assert.Equal(t, got.Body, threeEvents)
	}
	assert.Equal(t, f.dispatchesTo("e0"), 0)
	got := f.call(func(r *http.Request) { r.Header.Set("X-Resumes", "unknown") })
	assert.Equal(t, got.Status, http.StatusServiceUnavailable)
}

func TestStreamOfUnresumableRouteIsNotTakenUp(t *testing.T) {
	f := newFixture(t, func(r *routetable.Route) { r.Resumable = false }, streaming)
	f.began("1", "s", "v1")
	assert.Equal(t, f.call(resumption("1")).Status, http.StatusBadRequest)
	assert.Equal(t, f.dispatches.Load(), int64(0))
	plain := newFixture(t, plainRoute, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Signed", "yes") })
	assert.Equal(t, plain.call(resumption("1")).Status, http.StatusOK, "the fields mean nothing to plain calls")
}

func TestResumptionWithoutEndpointOfItsVersionIsFinal(t *testing.T) {
	f := newFixture(t, nil, streaming)
	f.began("1", "s", "v0")
	got := f.call(resumption("1"))
	assert.Equal(t, got.Status, http.StatusServiceUnavailable)
	assert.Equal(t, got.Header.Get("Retry-After"), "")
	assert.Equal(t, f.dispatches.Load(), int64(0))
}

func TestResumptionGoesToTheServiceThatBeganTheStream(t *testing.T) {
	split := func(r *routetable.Route) {
		r.Splits = []routetable.Split{{Service: "s", Weight: 1}, {Service: "other", Weight: 99}}
	}
	f := newFixture(t, split, streaming)
	f.began("1", "s", "v1")
	for range 10 {
		assert.Equal(t, f.call(resumption("1")).Body, thirdOnly)
	}
	moved := newFixture(t, nil, streaming)
	moved.began("1", "before", "v1")
	got := moved.call(resumption("1"))
	assert.Equal(t, got.Status, http.StatusServiceUnavailable)
	assert.Equal(t, got.Header.Get("Retry-After"), "")
}

func TestSecondResumptionNamesTheFirstAttempt(t *testing.T) {
	f := newFixture(t, nil, streaming, streaming)
	f.ofVersion("e1", "v2")
	first := f.call(nil)
	assert.Equal(t, first.Body, threeEvents)
	before := f.dispatchesTo("e0")
	for range 10 {
		assert.Equal(t, f.call(resumption("1")).Body, thirdOnly)
	}
	after := f.dispatchesTo("e0") - before
	assert.Assert(t, after == 0 || after == 10, "%d of 10 at one version", after)
}

// Guards against a stream that began at an endpoint whose entry says another version by the time of its first event.
func TestStreamOfDoubtfulVersionDoesNotGoOn(t *testing.T) {
	var f *fixture
	f = newFixture(t, nil, func(w http.ResponseWriter, r *http.Request) {
		e := *f.directory.Current().Endpoint("e0")
		e.Version = "v2"
		f.list(&e)
		breaking(w, r)
	}, streaming)
	f.ofVersion("e1", "v2")
	f.markLeaving("e1@1")
	got := f.call(nil)
	assert.Assert(t, got.Err != nil)
	assert.Equal(t, got.Body, twoEvents)
	assert.Equal(t, f.call(resumption("1")).Status, http.StatusServiceUnavailable)
}

func TestOnlyEndpointOfTheVersionIsTriedAgain(t *testing.T) {
	f := newFixture(t, func(r *routetable.Route) { r.MaxEndpoints = 3 }, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Last") == "2" {
			writeEvents(w, 3, 3)
			return
		}
		breaking(w, r)
	}, streaming)
	f.ofVersion("e1", "v2")
	f.markLeaving("e1@1")
	got := f.call(nil)
	assert.NilError(t, got.Err)
	assert.Equal(t, got.Body, threeEvents)
}

func TestHelperContinuesAtTheVersionThatBeganTheStream(t *testing.T) {
	helper := newFixture(t, nil, streaming, streaming)
	helper.ofVersion("e1", "v2")
	f := cutOff(t, nil)
	f.helpedBy("helper", helper.asHelper())
	f.began("1", "s", "v2")
	for range 10 {
		assert.Equal(t, f.call(resumption("1")).Body, thirdOnly)
	}
	assert.Equal(t, helper.dispatchesTo("e0"), 0)
}

// Guards against a first node that does not learn which version a helper's stream began at.
func TestStreamOfOneHelperGoesOnAtAnother(t *testing.T) {
	first := newFixture(t, nil, breaking)
	first.ofVersion("e0", "v2")
	second := newFixture(t, nil, streaming, streaming)
	second.ofVersion("e1", "v2")
	f := cutOff(t, func(r *routetable.Route) { r.MaxEndpoints = 4 })
	f.helpedBy("first", first.asHelper())
	f.helpedBy("second", second.asHelper())
	resumed := 0
	for i := range 20 {
		got := f.call(attemptNumber(i))
		assert.NilError(t, got.Err)
		assert.Equal(t, got.Body, threeEvents)
		if first.dispatches.Load() > int64(resumed) {
			resumed = int(first.dispatches.Load())
		}
	}
	assert.Assert(t, resumed > 0)
	assert.Equal(t, second.dispatches.Load(), int64(20))
}

// Guards against a helper that knows no versions and continues a stream anywhere: nodes are replaced one by one.
func TestEarlierProgramGetsNoStreamToContinue(t *testing.T) {
	earlier := peer(t, func(w http.ResponseWriter, r *http.Request) {
		var head forwardHead
		if readField(r.Header, fieldForward, &head) != nil {
			setField(w.Header(), fieldForwardResult, forwardResult{Outcome: outcomeNotRun})
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		_, _ = io.ReadAll(r.Body) // asks for it
		writeEvents(w, 1, 2)      // without a version
		abortConnection()
	})
	f := cutOff(t, nil)
	f.helpedBy("earlier", earlier)
	f.began("1", "s", "v1")
	assert.Equal(t, f.call(resumption("1")).Status, http.StatusServiceUnavailable)
	got := f.call(func(r *http.Request) { r.Header.Set("X-Id", "2") })
	assert.Assert(t, got.Err != nil && got.Body == twoEvents, "%v %q", got.Err, got.Body)
	assert.Equal(t, f.call(resumption("2")).Status, http.StatusServiceUnavailable)
}

func TestHelperRefusesToContinueWithoutOrigin(t *testing.T) {
	helper := newFixture(t, nil, streaming)
	request := helper.request(resumption("1"))
	request.URL.Host = helper.asHelper()
	setField(request.Header, fieldForward, forwardHead{From: "m", TimeLeft: time.Minute, LastEventID: "2", MaxEndpoints: 1})
	response, err := http.DefaultTransport.RoundTrip(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, helper.dispatches.Load(), int64(0))
}

// Guards against a stream that is cut because its endpoint's entry states another version while it runs.
func TestRunningStreamOutlivesChangeOfItsEntry(t *testing.T) {
	var f *fixture
	f = newFixture(t, nil, func(w http.ResponseWriter, _ *http.Request) {
		writeEvents(w, 1, 2)
		f.await(func() bool { return f.gateway.deps.Origins.Len() > 0 }) // the first event has been forwarded
		e := *f.directory.Current().Endpoint("e0")
		e.Version = "v2"
		f.list(&e)
		fmt.Fprint(w, "id: 3\ndata: 3\n\n")
	})
	got := f.call(nil)
	assert.NilError(t, got.Err)
	assert.Equal(t, got.Body, threeEvents)
	assert.Equal(t, f.call(resumption("1")).Status, http.StatusServiceUnavailable, "it is not known which version it was")
}

// Guards against a stream joined from two versions: after the loss of all nodes the only record of its content is that of a later stream, which
// another version began.
func TestUnnamedStreamOfBeforeTheStartDoesNotGoOn(t *testing.T) {
	f := newFixture(t, func(r *routetable.Route) { r.Timeout = 10 * time.Second }, streaming)
	f.gateway.deps.Origins = f.origins(metrics.NewSet())
	f.began("later", "s", "v1")
	got := f.call(resumption(""))
	assert.Equal(t, got.Status, http.StatusServiceUnavailable)
	assert.Equal(t, got.Header.Get("Retry-After"), "")
	assert.Equal(t, f.dispatches.Load(), int64(0))
	assert.Equal(t, f.call(resumption("later")).Body, thirdOnly, "a named stream goes on")
	f.clock.Add(int64(10*time.Second + originGrace))
	assert.Equal(t, f.call(resumption("")).Body, thirdOnly, "no stream of before the start can be continued any more")
}
