package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/brittle"
	"hawthornrill.example/hawthornrill/directory"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint/exchange"
	"hawthornrill.example/hawthornrill/endpointgate"
	"hawthornrill.example/hawthornrill/endpointlimit"
	"hawthornrill.example/hawthornrill/gossip"
	"hawthornrill.example/hawthornrill/origin"
	"hawthornrill.example/hawthornrill/places"
	"hawthornrill.example/hawthornrill/poison"
	"hawthornrill.example/hawthornrill/reach"
	"hawthornrill.example/hawthornrill/retrybudget"
	"hawthornrill.example/hawthornrill/routetable"
	"hawthornrill.example/hawthornrill/tokenlimit"
)

// testProtocol implements Protocol with headers of its own.
type testProtocol struct{}

func (testProtocol) ReadCall(h http.Header) (Call, error) {
	tokens, _ := strconv.Atoi(h.Get("X-Tokens"))
	call := Call{ID: h.Get("X-Id"), Key: h.Get("X-Key"), LastEventID: h.Get("X-Last"), Resumes: h.Get("X-Resumes"), PromptTokens: tokens}
	for _, part := range h.Values("X-Part") {
		hash, _ := strconv.ParseUint(part, 10, 64)
		call.Prompt = append(call.Prompt, PromptPart{Hash: hash})
	}
	return call, nil
}

func (testProtocol) WriteDispatch(h http.Header, d Dispatch) {
	h.Del("X-Key")
	h.Set("X-Endpoint", string(d.Endpoint))
	h.Set("X-Organisation", string(d.Organisation))
	h.Set("X-Last", d.LastEventID)
}

func (testProtocol) ReadAnswer(_ int, h http.Header) AnswerHead {
	head := AnswerHead{ID: h.Get("X-Id"), NotRun: h.Get("X-Not-Run") != "", Signed: h.Get("X-Signed") != ""}
	if perSecond, err := strconv.ParseFloat(h.Get("X-Limit"), 64); err == nil {
		head.Limit = endpointlimit.Advertisement{Kind: endpointlimit.Advertised, PerSecond: perSecond}
	}
	if seconds, err := strconv.ParseFloat(h.Get("X-Rest"), 64); err == nil {
		head.Notice.Rest = time.Duration(seconds * float64(time.Second))
	}
	head.Notice.Leaving = h.Get("X-Leaving") != ""
	if n, err := strconv.Atoi(h.Get("X-Brittle")); err == nil {
		head.Brittle = brittle.Statement{Kind: brittle.Stated, MaxRejections: n}
	}
	return head
}

// testConfigSource is a ConfigSource with a settable age and lag.
type testConfigSource struct {
	table *routetable.Table
	age   atomic.Int64
	// onAge is called by Age.
	onAge  func()
	behind atomic.Int64
}

func (c *testConfigSource) Table() *routetable.Table { return c.table }

func (c *testConfigSource) Age(boottime.Instant) time.Duration {
	if c.onAge != nil {
		c.onAge()
	}
	return time.Duration(c.age.Load())
}

func (c *testConfigSource) Behind(boottime.Instant) time.Duration {
	return time.Duration(c.behind.Load())
}

// fixture is a gateway with scripted endpoints.
type fixture struct {
	t          testing.TB
	config     *testConfigSource
	directory  *directory.Directory
	clock      atomic.Int64
	url        string
	gateway    *Gateway
	dispatches atomic.Int64
	// perEndpoint counts the dispatches by endpoint.
	perEndpoint sync.Map
	retries     retrybudget.Options
	bodyBytes   int64
	// probe is the result of the probe of an endpoint whose answer broke off.
	probe error
	// log is the gateway's.
	log zerolog.Logger

	endpointLimits *endpointlimit.Limiter
	endpointGate   *endpointgate.Gate
	brittle        *brittle.Tracker
	limits         *tokenlimit.Limiter
	// reach and peerClient are nil unless the gateway may forward requests.
	reach      *reach.Monitor
	peerClient *exchange.Client
}

// ampleRetryBudget is large enough for every test.
var ampleRetryBudget = retrybudget.Options{Ratio: 1, Slack: 100, Window: time.Minute}

const (
	testMaxKeyAge    = 5 * time.Second
	testMaxConfigLag = 2 * time.Second
)

func newFixture(t testing.TB, edit func(*routetable.Route), endpoints ...http.HandlerFunc) *fixture {
	f := &fixture{t: t, config: &testConfigSource{}, directory: directory.New(), retries: ampleRetryBudget, log: zerolog.Nop()}
	f.clock.Store(int64(time.Hour))
	route := routetable.Route{
		Name: "r", Host: "h.example", Prefix: "/r/", Kind: routetable.Stream, Resumable: true, Timeout: time.Minute,
		FirstByte: time.Minute, EventGap: time.Minute, MaxEndpoints: 2,
		Splits: []routetable.Split{{Service: "s", Weight: 1}},
	}
	if edit != nil {
		edit(&route)
	}
	organisation := routetable.Organisation{ID: "o", Keys: []string{"key"}, CountTokens: true, PlainTokens: 10, Rate: 500, Burst: 500}
	table, err := routetable.New(1, []routetable.Route{route}, []routetable.Service{{Name: "s", Engine: true}, {Name: "other", Engine: true}},
		[]routetable.Organisation{organisation}, routetable.Limits{MaxBodyBytes: 1 << 10, MaxHeaderBytes: 4 << 10})
	assert.NilError(t, err)
	f.config.table = table
	for i, handler := range endpoints {
		f.addEndpoint(fmt.Sprintf("e%d", i), handler)
	}
	f.start()
	return f
}

func (f *fixture) addEndpoint(id string, handler http.HandlerFunc) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.dispatches.Add(1)
		f.countAt(id)
		handler(w, r)
	}))
	f.t.Cleanup(server.Close)
	f.directory.Apply(0, []*directory.Endpoint{{
		ID: domain.EndpointID(id), Service: "s", Address: server.Listener.Addr().String(), Slots: 4, Version: "v1",
	}}, nil, 0)
}

func (f *fixture) countAt(id string) {
	count, _ := f.perEndpoint.LoadOrStore(id, new(atomic.Int64))
	count.(*atomic.Int64).Add(1)
}

// dispatchesTo returns the number of dispatches to an endpoint.
func (f *fixture) dispatchesTo(id string) int {
	count, _ := f.perEndpoint.LoadOrStore(id, new(atomic.Int64))
	return int(count.(*atomic.Int64).Load())
}

func (f *fixture) now() boottime.Instant { return boottime.Instant(f.clock.Load()) }

func (f *fixture) start() {
	set := metrics.NewSet()
	alone := func() gossip.Fleet { return gossip.Fleet{Known: 1, Heard: 1} }
	one := func() int { return 1 }

	f.endpointLimits = endpointlimit.New(endpointlimit.Config{
		Self: "n", Clock: f.now, Members: func() []domain.Member { return []domain.Member{{Node: "n"}} }, Directory: f.directory,
		Log: zerolog.Nop(), Metrics: set,
	})
	f.brittle = brittle.New(brittle.Config{
		Self: "n", Clock: f.now, Members: func() []domain.Member { return []domain.Member{{Node: "n"}, {Node: "m"}} }, Directory: f.directory,
		Log: zerolog.Nop(), Metrics: set,
	})
	f.endpointGate = endpointgate.New(endpointgate.Config{
		Directory: f.directory, Limits: f.endpointLimits, Shares: f.brittle, Clock: f.now, Log: zerolog.Nop(), Metrics: set,
	})
	f.limits = tokenlimit.New(tokenlimit.Config{Window: time.Second, Clock: f.now, Fleet: alone, Metrics: set})
	g := New(Dependencies{
		Protocol:           testProtocol{},
		Config:             f.config,
		Directory:          f.directory,
		OrganisationLimits: f.limits,
		EndpointLimits:     f.endpointLimits,
		EndpointGate:       f.endpointGate,
		Brittle:            f.brittle,
		RetryBudget:        retrybudget.New(f.retries, f.now, one),
		CrashParts:         f.crashParts(set),
		Origins:            f.origins(set),
		Places:             places.New(places.Options{Gate: f.endpointGate}, f.directory, alone, set),
		EndpointClient:     exchange.New(exchange.Options{}, set),
		Reach:              f.reach,
		PeerClient:         f.peerClient,
		Clock:              f.now,
		Log:                f.log,
		Metrics:            set,
	}, Options{MaxKeyAge: testMaxKeyAge, MaxConfigLag: testMaxConfigLag, MaxHeldBodyBytes: f.bodyBytes})
	f.clock.Add(int64(time.Hour)) // limits start as used up
	f.gateway = g
	server := httptest.NewServer(g)
	f.t.Cleanup(server.Close)
	f.url = server.URL
}

// crashParts returns a running tracker whose probes return f.probe.
func (f *fixture) crashParts(set *metrics.Set) *poison.Tracker {
	tracker := poison.New(poison.Config{
		Probe: func(context.Context, string) error { return f.probe }, Endpoints: func(string) int { return 1 }, Lost: func(string) bool { return false },
		AllHeard: func() bool { return true },
		Log:      zerolog.Nop(), Metrics: set,
	})
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(cancel)
	go func() { _ = tracker.Run(ctx) }() // ends with the context
	return tracker
}

// origins returns a keeper of a fleet of one node.
func (f *fixture) origins(set *metrics.Set) *origin.Keeper {
	return origin.New(origin.Config{
		Self: "n", Members: func() []domain.Member { return []domain.Member{{Node: "n"}} }, AllHeard: func() bool { return true },
		Others: func() []domain.Member { return nil }, Send: func(string, []byte) error { return nil }, VersionChanges: f.directory.TakeVersionChanges, Clock: f.now,
		Log: zerolog.Nop(), Metrics: set,
	})
}

// result is the response that a caller got. Err is the error of reading the body, nil if it was complete.
type result struct {
	Status int
	Header http.Header
	Body   string
	Err    error
}

// request returns a caller's request with the id 1.
func (f *fixture) request(edit func(*http.Request)) *http.Request {
	request, err := http.NewRequest(http.MethodPost, f.url+"/r/x?q=1", http.NoBody)
	assert.NilError(f.t, err)
	request.RequestURI = ""
	request.Host = "h.example"
	request.Header.Set("X-Id", "1")
	request.Header.Set("X-Key", "key")
	if edit != nil {
		edit(request)
	}
	return request
}

func (f *fixture) call(edit func(*http.Request)) result {
	f.t.Helper()
	response, err := http.DefaultTransport.RoundTrip(f.request(edit))
	if err != nil {
		return result{Err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return result{Status: response.StatusCode, Header: response.Header, Body: string(body), Err: err}
}

// onSecondAgeCheck calls change at the second check of the configuration's age, which comes right before the dispatch.
func (f *fixture) onSecondAgeCheck(change func()) {
	calls := 0
	f.config.onAge = func() {
		if calls++; calls == 2 {
			change()
		}
	}
}

// revokeKeys puts a configuration into force in which the test's key is not valid.
func (f *fixture) revokeKeys() {
	organisations := slices.Clone(f.config.table.Organisations)
	organisations[0].Keys = []string{"another"}
	table, err := routetable.New(2, nil, nil, organisations, routetable.Limits{})
	assert.NilError(f.t, err)
	f.config.table = table
}

// await waits until the condition holds.
func (f *fixture) await(condition func() bool) {
	f.t.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); {
		assert.Assert(f.t, time.Now().Before(end), "not within 10 s")
		time.Sleep(time.Millisecond)
	}
}

// list adds the entry to the directory or replaces it.
func (f *fixture) list(e *directory.Endpoint) {
	f.directory.Apply(0, []*directory.Endpoint{e}, nil, 0)
}

// markLeaving lists the endpoint as leaving.
func (f *fixture) markLeaving(id domain.EndpointID) {
	e := *f.directory.Current().Endpoint(id)
	e.Leaving = true
	f.list(&e)
}

// writeEvents writes the events from..to of a signed stream and flushes them.
func writeEvents(w http.ResponseWriter, from, to int) {
	w.Header().Set("X-Signed", "yes")
	w.WriteHeader(http.StatusOK)
	for i := from; i <= to; i++ {
		fmt.Fprintf(w, "id: %d\ndata: %d\n\n", i, i)
	}
	_ = http.NewResponseController(w).Flush()
}

// breakAfterTwoEvents sends the first two events, then calls breakOff. A request to resume after the second gets the third.
func breakAfterTwoEvents(breakOff func(http.ResponseWriter)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Last") == "2" {
			writeEvents(w, 3, 3)
			return
		}
		writeEvents(w, 1, 2)
		breakOff(w)
	}
}

// abortConnection closes the connection in the middle of a response.
func abortConnection() { panic(http.ErrAbortHandler) }
