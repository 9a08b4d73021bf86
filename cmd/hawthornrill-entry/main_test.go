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

// waitTimeout bounds each wait for a condition. No test depends on how long the wait takes.
const waitTimeout = 30 * time.Second

var routes = []platformtest.Route{
	{Name: "chat", Prefix: "/chat/", Kind: "stream", Service: "llm", MaxEndpoints: 2, Resumable: true, Timeout: 20 * time.Second, FirstByte: 10 * time.Second, EventGap: 10 * time.Second},
	{Name: "book", Prefix: "/book/", Kind: "non_idempotent", Service: "app", MaxEndpoints: 1, Timeout: 20 * time.Second, FirstByte: 10 * time.Second},
}

// cluster is a deployment on loopback: a store, endpoints and entry nodes.
type cluster struct {
	t            *testing.T
	store        *platformtest.Store
	storeAddress string
	endpoints    []*platformtest.Endpoint
	nodes        []*runningNode
	requests     atomic.Int64
	// graceS is the nodes' shutdown.grace_s.
	graceS float64
}

// runningNode is an entry node that runs until shutDown is called; done then receives the result of Run.
type runningNode struct {
	*entrynode.Node
	settings entrynode.Settings
	shutDown context.CancelFunc
	done     chan error
}

func newCluster(t *testing.T, nodes int) *cluster { return newClusterWithGrace(t, nodes, 20) }

func newClusterWithGrace(t *testing.T, nodes int, graceS float64) *cluster {
	c := &cluster{t: t, store: platformtest.NewStore(), graceS: graceS}
	server := httptest.NewServer(c.store)
	t.Cleanup(server.Close)
	c.storeAddress = server.Listener.Addr().String()
	c.configure(1, "k1", "k2")
	for i := range 2 {
		c.addEndpoint(fmt.Sprintf("llm-%d", i), "llm")
	}
	c.addEndpoint("app-0", "app")
	for i := range nodes {
		c.startNode(fmt.Sprintf("node-%d", i))
	}
	for _, n := range c.nodes {
		c.waitFor("node is ready", func() bool { ready, _ := n.Ready(); return ready })
	}
	return c
}

func (c *cluster) configure(version int, keys ...string) {
	c.store.Put("op/config", platformtest.Configuration(version, routes, keys))
}

func (c *cluster) addEndpoint(id, service string) {
	e := platformtest.NewEndpoint(id, service, "d")
	c.t.Cleanup(e.Close)
	e.Register(c.store, "ready")
	c.endpoints = append(c.endpoints, e)
}

func (c *cluster) startNode(name string) {
	c.t.Helper()
	settings := entrynode.Settings{
		Node: domain.NodeID(name), DataCentre: "d", Store: c.storeAddress,
		Listen:   entrynode.Listen{Callers: platformtest.FreeAddress(), Ready: platformtest.FreeAddress(), Peers: platformtest.FreeAddress(), Operators: platformtest.FreeAddress()},
		Keys:     entrynode.Keys{Strict: true, MaxAgeMS: 5000},
		Retry:    entrynode.Retry{Ratio: 1, WindowS: 10, Slack: 100},
		Limit:    entrynode.Limit{WindowS: 8},
		Shutdown: entrynode.Shutdown{GraceS: c.graceS},
	}
	client := platform.NewClient(settings.Store, onesend.New(onesend.Options{DialTimeout: storeDialTimeout, DeadPeerTimeout: storeSilentTimeout}))
	node, err := entrynode.New(settings, entrynode.Adapters{Protocol: platform.HeaderCodec{}, Source: client, Registry: client}, zerolog.Nop())
	assert.NilError(c.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	n := &runningNode{Node: node, settings: settings, shutDown: cancel, done: make(chan error, 1)}
	go func() { n.done <- node.Run(ctx) }()
	c.nodes = append(c.nodes, n)
	c.t.Cleanup(cancel)
}

func (c *cluster) waitFor(condition string, holds func() bool) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("%s", condition)
	}, poll.WithTimeout(waitTimeout))
}

// call sends a request to a node and returns the request's id and the response's status and body.
func (c *cluster) call(n *runningNode, path, key string) (id string, status int, body string, err error) {
	id = fmt.Sprintf("r%d", c.requests.Add(1))
	request, err := platformtest.NewRequest("http://"+n.settings.Listen.Callers+path, id, key, 20*time.Second,
		strings.HasPrefix(path, "/chat/"), strings.NewReader("body"))
	assert.NilError(c.t, err)
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return id, 0, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return id, response.StatusCode, string(data), err
}

func completeStream() string {
	text := ""
	for i := range platformtest.StreamEvents {
		text += fmt.Sprintf("id: %d\ndata: %d %s\n\n", i+1, i+1, platformtest.DefaultVersion)
	}
	return text
}

func (c *cluster) runs(id string) int {
	n := 0
	for _, e := range c.endpoints {
		n += e.Runs(id)
	}
	return n
}

func TestRequestsServedEndToEnd(t *testing.T) {
	c := newCluster(t, 3)
	for i := range 12 {
		id, status, body, err := c.call(c.nodes[i%3], "/chat/x?y=1", "k1")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, body, completeStream())
		assert.Equal(t, c.runs(id), 1)
		id, status, body, err = c.call(c.nodes[i%3], "/book/x", "k2")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, body, "answer to "+id)
		assert.Equal(t, c.endpoints[2].Organisation(id), "o1")
	}
	for _, n := range c.nodes {
		c.waitFor("the nodes receive each other's reports", func() bool { return n.State().Fleet.Heard == 3 })
	}
	response, err := http.Get("http://" + c.nodes[0].settings.Listen.Operators + "/metrics")
	assert.NilError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(text), "hawthornrill_requests_total"))
}

func TestRevokedKeyAndUnknownRouteRefused(t *testing.T) {
	c := newCluster(t, 2)
	c.configure(2, "k1")
	for _, n := range c.nodes {
		c.waitFor("the configuration is in force", func() bool { return n.State().Version == 2 })
		_, status, _, err := c.call(n, "/book/x", "k2")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusUnauthorized)
		_, status, _, err = c.call(n, "/none/x", "k1")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusNotFound)
	}
}

func TestStreamsResumeAfterEndpointFailure(t *testing.T) {
	c := newCluster(t, 1)
	c.endpoints[0].AbortStreamsAfter(2)
	for range 6 {
		_, _, body, err := c.call(c.nodes[0], "/chat/x", "k1")
		assert.NilError(t, err)
		assert.Equal(t, body, completeStream())
	}
}

func TestDrainingEndpointGetsNoNewRequests(t *testing.T) {
	c := newCluster(t, 2)
	c.endpoints[0].Register(c.store, "draining")
	for _, n := range c.nodes {
		c.waitFor("the node knows that the endpoint is draining", func() bool { return n.State().Leaving == 1 })
	}
	for i := range 8 {
		id, _, body, err := c.call(c.nodes[i%2], "/chat/x", "k1")
		assert.NilError(t, err)
		assert.Equal(t, body, completeStream())
		assert.Equal(t, c.endpoints[0].Runs(id), 0)
	}
}

func TestStoreOutage(t *testing.T) {
	c := newCluster(t, 2)
	c.store.FailWith(http.StatusServiceUnavailable)
	_, status, _, err := c.call(c.nodes[0], "/chat/x", "k1")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK, "cached keys stay valid until keys.max_age_ms")
	for _, n := range c.nodes {
		c.waitFor("the cached keys have exceeded keys.max_age_ms", func() bool { ready, _ := n.Ready(); return !ready })
		c.waitFor("requests are refused", func() bool {
			id, status, _, err := c.call(n, "/chat/x", "k1")
			return err == nil && status == http.StatusServiceUnavailable && c.runs(id) == 0
		})
	}
	c.store.FailWith(0)
	for _, n := range c.nodes {
		c.waitFor("the node is ready again", func() bool { ready, _ := n.Ready(); return ready })
	}
}

func TestGracefulShutdownInterruptsNoRequest(t *testing.T) {
	c := newCluster(t, 2)
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
				id, status, body, err := c.call(c.nodes[0], "/chat/x", "k1")
				refused := err != nil && c.runs(id) == 0
				if !refused && (status != http.StatusOK || body != completeStream()) {
					failed.Add(1)
				}
			}
		})
	}
	c.nodes[0].shutDown()
	assert.NilError(t, <-c.nodes[0].done)
	close(stop)
	callers.Wait()
	assert.Equal(t, failed.Load(), int64(0))
	c.waitFor("the node has removed its registration", func() bool { return len(c.store.Keys("nodes/")) == 1 })
}

func TestSettingsValidation(t *testing.T) {
	validSettings := "node = \"n\"\ndata_centre = \"d\"\nstore = \"127.0.0.1:1\"\n[listen]\ncallers = \"127.0.0.1:2\"\nready = \"127.0.0.1:3\"\npeers = \"127.0.0.1:4\"\n"
	tests := []struct{ name, text, wantError string }{
		{"valid", validSettings + "[keys]\nstrict = true\nmax_age_ms = 5000\n[unknown]\nx = 1\n", ""},
		{"missing node", strings.Replace(validSettings, "node = \"n\"\n", "", 1), "node"},
		{"invalid address", strings.Replace(validSettings, "127.0.0.1:2", "host:x", 1), "listen.callers"},
		{"missing max age", validSettings + "[keys]\nstrict = true\n", "keys.max_age_ms"},
		{"malformed TOML", "node = ", "settings"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "settings.toml")
			assert.NilError(t, os.WriteFile(path, []byte(test.text), 0o600))
			_, err := entrynode.Load(path)
			if test.wantError == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorIs(t, err, entrynode.ErrSettings)
			assert.ErrorContains(t, err, test.wantError)
		})
	}
}
