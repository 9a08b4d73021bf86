package virtual

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/deployment"
	"hawthornrill.example/hawthornrill/document"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/load"
	"hawthornrill.example/hawthornrill/membership"
	"hawthornrill.example/hawthornrill/node"
	"hawthornrill.example/hawthornrill/peer/peertest"
	"hawthornrill.example/hawthornrill/standin/engine"
	"hawthornrill.example/hawthornrill/standin/service"
	"hawthornrill.example/hawthornrill/store/memstore"
)

// ErrNotReady means that the nodes did not become ready within startTimeout, or that
// there are none.
var ErrNotReady = errors.New("virtual: nodes did not become ready")

// startTimeout limits the time until all nodes are ready.
const startTimeout = time.Minute

// Cluster is a running deployment. It implements load.Target.
type Cluster struct {
	network   *peertest.Network
	store     *memstore.Store
	engines   map[domain.EndpointID]*engine.Engine
	services  map[domain.EndpointID]*service.Service
	nodes     map[domain.DataCentre][]*runningNode
	allNodes  []*runningNode
	computed  *computedBlocks
	peers     []membership.Peer
	stop      context.CancelFunc
	nodesDone sync.WaitGroup
}

type runningNode struct {
	*node.Node
	echo *echo.Echo
}

var _ load.Target = (*Cluster)(nil)

// Start starts the deployment under a policy and returns when all nodes are ready. The
// caller must call Stop unless an error is returned.
func Start(d *deployment.Deployment, policy Policy) (*Cluster, error) {
	ctx, stop := context.WithCancel(context.Background())
	c := &Cluster{
		network:  peertest.NewNetwork(),
		store:    memstore.New(memstore.Options{}),
		engines:  make(map[domain.EndpointID]*engine.Engine),
		services: make(map[domain.EndpointID]*service.Service),
		nodes:    make(map[domain.DataCentre][]*runningNode),
		computed: newComputedBlocks(),
		stop:     stop,
	}
	c.network.SetDelay(func(from, to domain.Member) time.Duration {
		if from.DataCentre == to.DataCentre {
			return oneWayWithinDataCentre
		}
		return d.OneWayDelay
	})
	table := policy.table(d.Table)
	c.startEndpoints(&table)
	err := errors.Join(c.startNodes(ctx, d, policy), c.applyTable(table), c.awaitReady())
	if err != nil {
		c.Stop()
		return nil, fmt.Errorf("virtual: %w", err)
	}
	c.network.ResetCounts()
	return c, nil
}

// oneWayWithinDataCentre is the one-way network delay within a data centre.
const oneWayWithinDataCentre = 100 * time.Microsecond

func (c *Cluster) startEndpoints(table *config.Table) {
	for i := range table.Endpoints {
		row := &table.Endpoints[i]
		row.Address = fmt.Sprintf("http://192.0.2.%d:80", i+1)
		if row.Kind == config.KindService {
			c.services[row.ID] = service.New(service.Options{})
			continue
		}
		c.engines[row.ID] = engine.New(engine.Options{
			Speed:     load.SpeedOf(row.Generation),
			Seed:      uint64(i),
			OnPrefill: c.computed.add,
		})
	}
}

func (c *Cluster) startNodes(ctx context.Context, d *deployment.Deployment, policy Policy) error {
	var members []domain.Member
	for i, host := range d.Hosts {
		m := domain.Member{Node: host.Node, Incarnation: 1, DataCentre: host.DataCentre, Address: fmt.Sprintf("198.51.100.%d:7", i+1)}
		members = append(members, m)
	}
	c.peers = peersOf(members)
	for _, m := range members {
		if err := c.startNode(ctx, m, policy); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) startNode(ctx context.Context, m domain.Member, policy Policy) error {
	options := node.Options{
		Transport:      c.network.Node(m),
		Store:          c.store.NewClient(),
		Members:        &staticMembers{membership.NewStaticView(&membership.Snapshot{Self: m, Peers: c.peers})},
		Adapters:       adapters{c},
		Log:            zerolog.Nop(),
		Metrics:        metrics.NewSet(),
		SessionSecrets: [][]byte{[]byte(strings.Repeat("s", 32))},
	}
	if policy.Configure != nil {
		policy.Configure(&options)
	}
	n, err := node.New(options)
	if err != nil {
		return err
	}
	e := echo.New()
	n.RegisterCallerRoutes(e)
	r := &runningNode{Node: n, echo: e}
	c.nodes[m.DataCentre] = append(c.nodes[m.DataCentre], r)
	c.allNodes = append(c.allNodes, r)
	c.nodesDone.Go(func() { _ = n.Run(ctx) })
	return nil
}

func (c *Cluster) applyTable(table config.Table) error {
	if len(c.allNodes) == 0 {
		return ErrNotReady
	}
	edit := document.Edit{ID: document.NewEditID(), Author: "load"}
	_, err := c.allNodes[0].Config().Edit(context.Background(), edit, config.Diff(config.Table{}, table))
	return err
}

func (c *Cluster) awaitReady() error {
	start := time.Now()
	for _, n := range c.allNodes {
		for n.Ready() != nil {
			if time.Since(start) > startTimeout {
				return fmt.Errorf("%w: %w", ErrNotReady, n.Ready())
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(reportingDelay)
	return nil
}

// reportingDelay gives pool owners time to receive reports from all grant holders before
// the first request.
const reportingDelay = 5 * time.Second

// Nodes implements load.Target.
func (c *Cluster) Nodes(dataCentre domain.DataCentre) int { return len(c.nodes[dataCentre]) }

// Send implements load.Target.
func (c *Cluster) Send(dataCentre domain.DataCentre, index int, r *http.Request, w http.ResponseWriter) (err error) {
	defer func() {
		if p := recover(); p != nil {
			if p != any(http.ErrAbortHandler) {
				panic(p)
			}
			err = http.ErrAbortHandler
		}
	}()
	c.nodes[dataCentre][index].echo.ServeHTTP(w, r)
	return nil
}

// ServerRecord returns the endpoints' logs and the traffic since the cluster was ready.
func (c *Cluster) ServerRecord() *load.ServerRecord {
	total, store := c.network.Total(""), c.store.Counts()
	record := &load.ServerRecord{
		Engines:      make(map[domain.EndpointID][]engine.Run),
		Services:     make(map[domain.EndpointID][]service.Run),
		Counts:       make(map[domain.EndpointID]engine.Counts),
		Repeated:     c.computed.repeatedTokens(),
		PeerMessages: total.Messages,
		PeerBytes:    total.Bytes,
		StoreReads:   store.Reads,
		StoreWrites:  store.Writes,
		StoreWatches: store.Watches,
	}
	for id, e := range c.engines {
		record.Engines[id], record.Counts[id] = e.Runs(), e.Counts()
	}
	for id, s := range c.services {
		record.Services[id] = s.Runs()
	}
	return record
}

// Stop stops all nodes and endpoints.
func (c *Cluster) Stop() {
	c.stop()
	c.nodesDone.Wait()
	c.network.Close()
	for _, e := range c.engines {
		e.Close()
	}
}

// adapters provides the stand-ins as endpoints.
type adapters struct{ cluster *Cluster }

// Engine implements node.Adapters.
func (a adapters) Engine(row *config.EndpointRow) endpoint.Engine { return a.cluster.engines[row.ID] }

// Service implements node.Adapters.
func (a adapters) Service(row *config.EndpointRow) endpoint.Service {
	return a.cluster.services[row.ID]
}
