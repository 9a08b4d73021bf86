package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint/onesend"
	"hawthornrill.example/hawthornrill/entrynode"
	"hawthornrill.example/hawthornrill/platform"
	"hawthornrill.example/hawthornrill/platform/platformtest"
)

// patience bounds what the tests wait for; nothing depends on how long it takes.
const patience = 30 * time.Second

var routes = []platformtest.Route{
	{Name: "chat", Prefix: "/chat/", Kind: "stream", Service: "llm", MaxEndpoints: 2, Resumable: true, Timeout: 20 * time.Second, FirstByte: 10 * time.Second, EventGap: 10 * time.Second},
	{Name: "book", Prefix: "/book/", Kind: "non_idempotent", Service: "app", MaxEndpoints: 1, Timeout: 20 * time.Second, FirstByte: 10 * time.Second},
}

// system is a whole deployment on loopback: store, endpoints and nodes.
type system struct {
	t         *testing.T
	store     *platformtest.Store
	address   string
	endpoints []*platformtest.Endpoint
	nodes     []*process
	requests  atomic.Int64
}

// process is a node with what ends it.
type process struct {
	*entrynode.Node
	settings entrynode.Settings
	leave    context.CancelFunc
	done     chan error
}

func newSystem(t *testing.T, nodes int) *system {
	s := &system{t: t, store: platformtest.NewStore()}
	server := httptest.NewServer(s.store)
	t.Cleanup(server.Close)
	s.address = server.Listener.Addr().String()
	s.configure(1, "k1", "k2")
	for i := range 2 {
		s.addEndpoint(fmt.Sprintf("llm-%d", i), "llm")
	}
	s.addEndpoint("app-0", "app")
	for i := range nodes {
		s.startNode(fmt.Sprintf("node-%d", i))
	}
	for _, n := range s.nodes {
		s.until("node is ready", func() bool { ready, _ := n.Ready(); return ready })
	}
	return s
}

func (s *system) configure(version int, keys ...string) {
	s.store.Put("op/config", platformtest.Configuration(version, routes, keys))
}

func (s *system) addEndpoint(id, service string) {
	e := platformtest.NewEndpoint(id, service, "d")
	s.t.Cleanup(e.Close)
	e.Register(s.store, "ready")
	s.endpoints = append(s.endpoints, e)
}

func (s *system) startNode(name string) {
	s.t.Helper()
	settings := entrynode.Settings{
		Node: domain.NodeID(name), DataCentre: "d", Store: s.address,
		Listen: entrynode.Listen{Callers: platformtest.FreeAddress(), Ready: platformtest.FreeAddress(), Peers: platformtest.FreeAddress(), Operators: platformtest.FreeAddress()},
		Keys:   entrynode.Keys{Strict: true, MaxAgeMS: 5000},
		Retry:  entrynode.Retry{Ratio: 1, WindowS: 10, Slack: 100},
		Limit:  entrynode.Limit{WindowS: 8},
		Notice: entrynode.Notice{GraceS: 20},
	}
	client := platform.NewClient(settings.Store, onesend.New(onesend.Options{DialTimeout: storeDial, SilentTimeout: storeSilence}))
	node, err := entrynode.New(settings, entrynode.Adapters{Protocol: platform.HeaderCodec{}, Source: client, Registry: client}, zerolog.Nop())
	assert.NilError(s.t, err)
	ctx, leave := context.WithCancel(context.Background())
	p := &process{Node: node, settings: settings, leave: leave, done: make(chan error, 1)}
	go func() { p.done <- node.Run(ctx) }()
	s.nodes = append(s.nodes, p)
	s.t.Cleanup(leave)
}

func (s *system) until(what string, holds func() bool) {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(patience))
}

// call sends a request to a node and returns its id, status and body.
func (s *system) call(p *process, path, key string) (id string, status int, body string, err error) {
	id = fmt.Sprintf("r%d", s.requests.Add(1))
	request, err := platformtest.NewRequest("http://"+p.settings.Listen.Callers+path, id, key, 20*time.Second,
		strings.HasPrefix(path, "/chat/"), strings.NewReader("body"))
	assert.NilError(s.t, err)
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return id, 0, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return id, response.StatusCode, string(data), err
}

func wholeStream() string {
	text := ""
	for i := range platformtest.StreamEvents {
		text += fmt.Sprintf("id: %d\ndata: %d\n\n", i+1, i+1)
	}
	return text
}

func (s *system) runs(id string) int {
	n := 0
	for _, e := range s.endpoints {
		n += e.Runs(id)
	}
	return n
}

func TestWholePathServes(t *testing.T) {
	s := newSystem(t, 3)
	for i := range 12 {
		id, status, body, err := s.call(s.nodes[i%3], "/chat/x?y=1", "k1")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, body, wholeStream())
		assert.Equal(t, s.runs(id), 1)
		id, status, body, err = s.call(s.nodes[i%3], "/book/x", "k2")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, body, "answer to "+id)
		assert.Equal(t, s.endpoints[2].Organisation(id), "o1")
	}
	for _, n := range s.nodes {
		s.until("the nodes hear each other", func() bool { return n.State().Fleet.Heard == 3 })
	}
	response, err := http.Get("http://" + s.nodes[0].settings.Listen.Operators + "/metrics")
	assert.NilError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(text), "hawthornrill_requests_total"))
}

func TestKeyTakenAwayAndRouteChanged(t *testing.T) {
	s := newSystem(t, 2)
	s.configure(2, "k1")
	for _, n := range s.nodes {
		s.until("the configuration is in force", func() bool { return n.State().Version == 2 })
		_, status, _, err := s.call(n, "/book/x", "k2")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusUnauthorized)
		_, status, _, err = s.call(n, "/none/x", "k1")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusNotFound)
	}
}

func TestStreamsGoOnWhenAnEndpointBreaks(t *testing.T) {
	s := newSystem(t, 1)
	s.endpoints[0].AbortStreamsAfter(2)
	for range 6 {
		_, _, body, err := s.call(s.nodes[0], "/chat/x", "k1")
		assert.NilError(t, err)
		assert.Equal(t, body, wholeStream())
	}
}

func TestLeavingEndpointGetsNothingNew(t *testing.T) {
	s := newSystem(t, 2)
	s.endpoints[0].Register(s.store, "draining")
	for _, n := range s.nodes {
		s.until("the departure is known", func() bool { return n.State().Leaving == 1 })
	}
	for i := range 8 {
		id, _, body, err := s.call(s.nodes[i%2], "/chat/x", "k1")
		assert.NilError(t, err)
		assert.Equal(t, body, wholeStream())
		assert.Equal(t, s.endpoints[0].Runs(id), 0)
	}
}

func TestOutageOfTheStore(t *testing.T) {
	s := newSystem(t, 2)
	s.store.FailWith(http.StatusServiceUnavailable)
	_, status, _, err := s.call(s.nodes[0], "/chat/x", "k1")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK, "what is known goes on for a while")
	for _, n := range s.nodes {
		s.until("the keys are too old", func() bool { ready, _ := n.Ready(); return !ready })
		s.until("requests are refused", func() bool {
			id, status, _, err := s.call(n, "/chat/x", "k1")
			return err == nil && status == http.StatusServiceUnavailable && s.runs(id) == 0
		})
	}
	s.store.FailWith(0)
	for _, n := range s.nodes {
		s.until("the node is ready again", func() bool { ready, _ := n.Ready(); return ready })
	}
}

func TestGracefulEndCutsNothing(t *testing.T) {
	s := newSystem(t, 2)
	var callers sync.WaitGroup
	var failed atomic.Int64
	stop := make(chan struct{})
	for range 4 {
		callers.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				id, status, body, err := s.call(s.nodes[0], "/chat/x", "k1")
				refused := err != nil && s.runs(id) == 0
				if !refused && (status != http.StatusOK || body != wholeStream()) {
					failed.Add(1)
				}
			}
		})
	}
	s.nodes[0].leave()
	assert.NilError(t, <-s.nodes[0].done)
	close(stop)
	callers.Wait()
	assert.Equal(t, failed.Load(), int64(0))
	s.until("the node is no longer listed", func() bool { return len(s.store.Keys("nodes/")) == 1 })
}

func TestSettingsAreChecked(t *testing.T) {
	good := "node = \"n\"\ndata_centre = \"d\"\nstore = \"127.0.0.1:1\"\n[listen]\ncallers = \"127.0.0.1:2\"\nready = \"127.0.0.1:3\"\npeers = \"127.0.0.1:4\"\n"
	tests := []struct{ name, text, wants string }{
		{"good", good + "[keys]\nstrict = true\nmax_age_ms = 5000\n[unknown]\nx = 1\n", ""},
		{"no node", strings.Replace(good, "node = \"n\"\n", "", 1), "node"},
		{"bad address", strings.Replace(good, "127.0.0.1:2", "host:x", 1), "listen.callers"},
		{"no age", good + "[keys]\nstrict = true\n", "keys.max_age_ms"},
		{"no TOML", "node = ", "settings"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "settings.toml")
			assert.NilError(t, os.WriteFile(path, []byte(test.text), 0o600))
			_, err := entrynode.Load(path)
			if test.wants == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorIs(t, err, entrynode.ErrSettings)
			assert.ErrorContains(t, err, test.wants)
		})
	}
}
