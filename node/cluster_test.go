package node

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/deployment"
	"hawthornrill.example/hawthornrill/document"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/entry"
	"hawthornrill.example/hawthornrill/membership"
	"hawthornrill.example/hawthornrill/peer/peertest"
	"hawthornrill.example/hawthornrill/standin/engine"
	"hawthornrill.example/hawthornrill/store/memstore"
)

// cluster is a deployment in virtual time: complete nodes over an in-memory
// network, store and engines. The engines' logs show what was executed.
type cluster struct {
	t       *testing.T
	network *peertest.Network
	store   *memstore.Store
	engines map[domain.EndpointID]*engine.Engine
	members []domain.Member
	// mu guards nodes in tests that stop and start nodes while requests are sent.
	mu    sync.Mutex
	nodes map[domain.NodeID]*runningNode
	peers atomic.Pointer[[]membership.Peer]
	// observe, if set, is called with each event of a node before the node continues.
	observe atomic.Pointer[func(event)]
	// configure, if set, changes the options of each node.
	configure func(*Options)
}

type runningNode struct {
	*Node
	gate *gate
	// client is the node's connection to the store.
	client *memstore.Client
	echo   *echo.Echo
	stop   context.CancelFunc
	done   chan struct{}
}

// scriptedMembers implements Members with a view that is set by the test.
type scriptedMembers struct {
	c    *cluster
	self domain.Member
	last atomic.Pointer[cachedSnapshot]
}

type cachedSnapshot struct {
	peers    *[]membership.Peer
	snapshot *membership.Snapshot
}

func (v *scriptedMembers) Current() *membership.Snapshot {
	peers := v.c.peers.Load()
	if cached := v.last.Load(); cached != nil && cached.peers == peers {
		return cached.snapshot
	}
	s := &membership.Snapshot{Self: v.self, Peers: *peers}
	v.last.Store(&cachedSnapshot{peers: peers, snapshot: s})
	return s
}

func (v *scriptedMembers) Run(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }

func (v *scriptedMembers) Leave(context.Context) error {
	v.c.setStatus(v.self, membership.StatusLeaving)
	return nil
}

func (v *scriptedMembers) AnnounceStopped(context.Context) error {
	v.c.setStatus(v.self, membership.StatusGone)
	return nil
}

// engineAdapters provides the in-process engines as endpoints.
type engineAdapters struct {
	c    *cluster
	gate *gate
}

func (a engineAdapters) Engine(row *config.EndpointRow) endpoint.Engine {
	return gatedEngine{a.c.engines[row.ID], a.gate}
}

func (a engineAdapters) Service(*config.EndpointRow) endpoint.Service { return nil }

// firstIncarnation is the initial incarnation of all nodes. It leaves room for
// earlier ones.
const firstIncarnation = 10

// newCluster starts a node for each host of the deployment and an engine for each
// of its engine rows.
func newCluster(t *testing.T, d *deployment.Deployment, options engine.Options) *cluster {
	return newClusterWith(t, d, options, func(*Options) {})
}

// newClusterWith is newCluster with a function that changes the options of each
// node.
func newClusterWith(t *testing.T, d *deployment.Deployment, options engine.Options, configure func(*Options)) *cluster {
	c := &cluster{
		t:         t,
		network:   peertest.NewNetwork(),
		store:     memstore.New(memstore.Options{}),
		engines:   make(map[domain.EndpointID]*engine.Engine),
		nodes:     make(map[domain.NodeID]*runningNode),
		configure: configure,
	}
	for i := range d.Table.Endpoints {
		row := &d.Table.Endpoints[i]
		row.Address = fmt.Sprintf("http://192.0.2.%d:80", i+1)
		if row.Kind == config.KindEngine {
			c.engines[row.ID] = engine.New(options)
		}
	}
	var peers []membership.Peer
	for i, host := range d.Hosts {
		m := domain.Member{Node: host.Node, Incarnation: firstIncarnation, DataCentre: host.DataCentre, Address: fmt.Sprintf("198.51.100.%d:7", i+1)}
		c.members = append(c.members, m)
		peers = append(peers, membership.Peer{Member: m})
	}
	slices.SortFunc(peers, func(a, b membership.Peer) int { return strings.Compare(string(a.Node), string(b.Node)) })
	c.peers.Store(&peers)
	for _, m := range c.members {
		c.start(m)
	}
	c.applyConfig(d.Table)
	c.awaitJoined()
	return c
}

// clusterJoinTimeout bounds the time until all nodes can serve any key.
const clusterJoinTimeout = time.Minute

// awaitJoined waits until every node has joined its ledger table and is ready.
func (c *cluster) awaitJoined() {
	start := time.Now()
	for _, n := range c.nodes {
		for !n.joined() || n.Ready() != nil {
			time.Sleep(50 * time.Millisecond)
			assert.Assert(c.t, time.Since(start) < clusterJoinTimeout, "%s has not joined: %v", n.self, n.Ready())
		}
	}
	c.t.Logf("all nodes joined after %v", time.Since(start))
}

// start starts a node with the given incarnation.
func (c *cluster) start(m domain.Member) *runningNode {
	observe := func(name, key string, offset uint64) { c.emit(event{m.Node, name, "", key, offset}) }
	g := newGate(observe)
	client := c.store.NewClient()
	options := Options{
		Transport:      observedTransport{c.network.Node(m), c},
		Store:          gatedStore{client, g},
		Members:        &scriptedMembers{c: c, self: m},
		Adapters:       engineAdapters{c, g},
		Log:            zerolog.Nop(),
		Metrics:        metrics.NewSet(),
		SessionSecrets: [][]byte{[]byte(strings.Repeat("s", 32))},
	}
	c.configure(&options)
	n, err := New(options)
	assert.NilError(c.t, err)
	e := echo.New()
	n.RegisterCallerRoutes(e)
	n.RegisterHealthRoutes(e)
	n.RegisterDebugRoutes(e)
	ctx, stop := context.WithCancel(context.Background())
	running := &runningNode{Node: n, gate: g, client: client, echo: e, stop: stop, done: make(chan struct{})}
	go func() {
		defer close(running.done)
		_ = n.Run(ctx)
	}()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[m.Node] = running
	return running
}

// applyConfig stores a configuration.
func (c *cluster) applyConfig(table config.Table) {
	first := c.nodes[c.members[0].Node]
	edit := document.Edit{ID: document.NewEditID(), Author: "test"}
	_, err := first.Config().Edit(context.Background(), edit, config.Diff(config.Table{}, table))
	assert.NilError(c.t, err)
}

// setStatus sets the status of an incarnation in the view of all nodes.
func (c *cluster) setStatus(m domain.Member, status membership.Status) {
	peers := slices.Clone(*c.peers.Load())
	for i := range peers {
		if peers[i].Node == m.Node {
			peers[i] = membership.Peer{Member: m, Status: status}
		}
	}
	c.peers.Store(&peers)
}

// crash stops a node at once and waits until it has ended. Nothing that it has in
// progress is sent any more.
func (c *cluster) crash(node domain.NodeID) {
	n := c.nodes[node]
	n.kill(c.network)
	<-n.done
	delete(c.nodes, node)
}

// kill stops a node at once without waiting for its goroutines.
func (n *runningNode) kill(network *peertest.Network) {
	network.Crash(n.self.Node)
	n.gate.crash()
	n.stop()
}

// pause suspends all sending and receiving of a node.
func (c *cluster) pause(node domain.NodeID) {
	c.network.Pause(node)
	c.nodes[node].gate.pause()
}

// resume ends the pause of a node.
func (c *cluster) resume(node domain.NodeID) {
	c.nodes[node].gate.resume()
	c.network.Resume(node)
}

// close stops all nodes and engines.
func (c *cluster) close() {
	for _, n := range c.nodes {
		n.stop()
	}
	for _, n := range c.nodes {
		<-n.done
	}
	c.network.Close()
	for _, e := range c.engines {
		e.Close()
	}
	synctest.Wait()
}

// runs counts the executions of each request over all engines.
func (c *cluster) runs() map[string]int {
	counts := make(map[string]int)
	for _, e := range c.engines {
		for _, run := range e.Runs() {
			counts[run.Key]++
		}
	}
	return counts
}

// assertAtMostOnce fails if any request was executed more than once.
func (c *cluster) assertAtMostOnce() {
	for key, n := range c.runs() {
		assert.Check(c.t, n <= 1, "%s was run %d times", key, n)
	}
}

// chat sends a chat request to a node and returns the response.
func (c *cluster) chat(ctx context.Context, node domain.NodeID, org domain.OrganisationID, key, prompt string, tokens int) *httptest.ResponseRecorder {
	body := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}],"max_tokens":%d}`, "quote", prompt, tokens)
	request := httptest.NewRequestWithContext(ctx, http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+deployment.DemoKey(org))
	request.Header.Set("Content-Type", "application/json")
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	recorder := httptest.NewRecorder()
	c.nodes[node].echo.ServeHTTP(recorder, request)
	return recorder
}

// content returns the text of a complete chat completion.
func content(t *testing.T, response *httptest.ResponseRecorder) string {
	var completion struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	assert.NilError(t, json.Unmarshal(response.Body.Bytes(), &completion), "%s", response.Body)
	assert.Equal(t, len(completion.Choices), 1, "%s", response.Body)
	return completion.Choices[0].Message.Content
}

// decodeProblem decodes a problem document.
func decodeProblem(t *testing.T, response *httptest.ResponseRecorder) entry.Problem {
	var p entry.Problem
	assert.NilError(t, json.Unmarshal(response.Body.Bytes(), &p), "%s", response.Body)
	return p
}
