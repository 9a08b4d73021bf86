package entry_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/labstack/echo/v4"
	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/entry"
	"hawthornrill.example/hawthornrill/peer/peertest"
	"hawthornrill.example/hawthornrill/scheduler"
	"hawthornrill.example/hawthornrill/scheduler/schedulertest"
	"hawthornrill.example/hawthornrill/session"
)

const (
	apiKey   = "key-of-cucine"
	otherKey = "key-of-pryce"
)

// deployment consists of two nodes, an engine with the model "m", and a service
// "jobs".
type deployment struct {
	network  *peertest.Network
	home     *schedulertest.Home
	capacity *schedulertest.Capacity
	engine   *schedulertest.Engine
	service  *schedulertest.Service
	nodes    map[domain.NodeID]*node
	view     *config.StaticView
	sessions *session.Authority
}

type node struct {
	scheduler *scheduler.Scheduler
	peer      *peertest.Node
	handler   http.Handler
}

func newDeployment(t testing.TB, script schedulertest.Script, options scheduler.Options, entryOptions entry.Options) *deployment {
	t.Helper()
	sessions, err := session.NewAuthority([][]byte{[]byte(strings.Repeat("s", 32))}, time.Hour)
	assert.NilError(t, err)
	d := &deployment{
		network:  peertest.NewNetwork(),
		home:     schedulertest.NewHome(),
		capacity: schedulertest.NewCapacity("e"),
		engine:   schedulertest.NewEngine(script),
		service:  &schedulertest.Service{},
		nodes:    make(map[domain.NodeID]*node),
		view:     config.NewStaticView(snapshot()),
		sessions: sessions,
	}
	world := schedulertest.Cluster{
		Home:     d.home,
		Capacity: d.capacity,
		Endpoints: schedulertest.Endpoints{
			Engines:  map[domain.EndpointID]endpoint.Engine{"e": d.engine},
			Services: map[domain.EndpointID]endpoint.Service{"e": d.service},
		},
	}
	for _, name := range []domain.NodeID{"a", "b"} {
		d.nodes[name] = d.start(world, name, options, entryOptions)
	}
	return d
}

func (d *deployment) start(world schedulertest.Cluster, name domain.NodeID, options scheduler.Options, entryOptions entry.Options) *node {
	link := d.network.Node(schedulertest.NewMember(name))
	s := world.NewScheduler(link, options)
	e := echo.New()
	entry.New(entry.Dependencies{Self: link.Self(), Config: d.view, Sessions: d.sessions, Scheduler: s}, entryOptions).Register(e)
	return &node{scheduler: s, peer: link, handler: e}
}

func (d *deployment) close() {
	for _, n := range d.nodes {
		n.scheduler.Close()
	}
	d.network.Close()
}

func snapshot() *config.Snapshot {
	cucine := &config.Organisation{OrganisationRow: config.OrganisationRow{ID: "cucine"}, DefaultDeadline: time.Minute}
	pryce := &config.Organisation{OrganisationRow: config.OrganisationRow{ID: "pryce", HomeDataCentre: "palermo"}, DefaultDeadline: time.Minute}
	return &config.Snapshot{
		OrganisationByKeyHash: map[[32]byte]*config.Organisation{config.HashKey(apiKey): cucine, config.HashKey(otherKey): pryce},
		Endpoints:             map[domain.EndpointID]*config.EndpointRow{"e": {ID: "e", DataCentre: "palermo"}},
		Models:                map[string]*config.ModelRow{"m": {Name: "m", MaxPromptTokens: 1000, MaxAnswerTokens: 100}},
		Services:              map[string]*config.ServiceRow{"jobs": {Name: "jobs", Once: "POST"}},
	}
}

// chatBody is a valid body of a chat completion request.
const chatBody = `{"model":"m","stream":true,"messages":[{"role":"user","content":"how much?"}]}`

// newRequest returns a request with a valid API key. Headers are pairs of name and
// value.
func newRequest(method, path, body string, headers ...string) *http.Request {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+apiKey)
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	return r
}

func (d *deployment) do(name domain.NodeID, r *http.Request) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	d.nodes[name].handler.ServeHTTP(w, r)
	return w
}

// keyOf returns the full key of a request of cucine without a session.
func keyOf(client string) domain.RequestKey {
	return domain.RequestKey{Scope: domain.Scope{DataCentre: "palermo"}, Organisation: "cucine", Client: client}
}

// expectedStream returns the complete stream of the answer to a key, starting at
// the event from.
func expectedStream(key domain.RequestKey, from, tokens uint64) string {
	var out strings.Builder
	for offset := from; offset < tokens; offset++ {
		out.WriteString("id: " + formatUint(offset) + "\ndata: " + schedulertest.EventData(key.String(), offset) + "\n\n")
	}
	return out.String() + "data: [DONE]\n\n"
}

func TestStreamIsComplete(t *testing.T) {
	scripts := map[string]schedulertest.Script{
		"no fault":                   {},
		"duplicate events":           {DuplicateEvents: true},
		"stale and duplicate events": {StaleEvents: true, DuplicateEvents: true},
		"slow engine":                {Interval: 10 * time.Second},
		"two disconnects":            {DisconnectAt: []uint64{0, 17}},
		"skipped event":              {SkipAt: 5},
		"stalled stream":             {StallAt: 8},
		"start reply lost":           {StartErr: endpoint.ErrBroken, RunDespiteStartErr: true},
		"engine briefly unreachable": {DisconnectAt: []uint64{3}, ResumeErr: endpoint.ErrBroken, ResumeFailures: 3},
	}
	for name, script := range scripts {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				script.Tokens = 20
				if script.Interval == 0 {
					script.Interval = 20 * time.Millisecond
				}
				d := newDeployment(t, script, scheduler.Options{}, entry.Options{KeepAliveInterval: time.Hour})
				defer d.close()
				w := d.do("a", newRequest("POST", "/v1/chat/completions", chatBody, "Idempotency-Key", "k1"))
				assert.Equal(t, w.Code, http.StatusOK)
				assert.Equal(t, w.Body.String(), expectedStream(keyOf("k1"), 0, 20))
				assert.DeepEqual(t, d.engine.Started(), []string{keyOf("k1").String()})
				synctest.Wait()
				assert.Equal(t, d.capacity.Held(), 0)
				assert.Equal(t, d.home.State(keyOf("k1")), stateFinished)
			})
		})
	}
}
