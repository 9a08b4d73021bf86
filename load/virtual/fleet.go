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

// ErrNotReady means that the nodes did not become ready.
var ErrNotReady = errors.New("virtual: nodes not ready")

// joinLimit bounds the start of the nodes.
const joinLimit = time.Minute

// Cluster is a running deployment. It implements load.Target.
type Cluster struct {
	network  *peertest.Network
	store    *memstore.Store
	engines  map[domain.EndpointID]*engine.Engine
	services map[domain.EndpointID]*service.Service
	nodes    map[domain.DataCentre][]*running
	all      []*running
	computed *computed
	peers    []membership.Peer
	stop     context.CancelFunc
	done     sync.WaitGroup
}

type running struct {
	*node.Node
	echo *echo.Echo
}

var _ load.Target = (*Cluster)(nil)

// Start runs the deployment under a policy and returns when all nodes are ready.
// Stop must be called, unless there is an error.
func Start(d *deployment.Deployment, policy Policy) (*Cluster, error) {
	ctx, stop := context.WithCancel(context.Background())
	f := &Cluster{
		network:  peertest.NewNetwork(),
		store:    memstore.New(memstore.Options{}),
		engines:  make(map[domain.EndpointID]*engine.Engine),
		services: make(map[domain.EndpointID]*service.Service),
		nodes:    make(map[domain.DataCentre][]*running),
		computed: newComputed(),
		stop:     stop,
	}
	f.network.SetDelay(func(from, to domain.Member) time.Duration {
		if from.DataCentre == to.DataCentre {
			return within
		}
		return d.OneWay
	})
	table := policy.table(d.Table)
	f.startEndpoints(&table)
	err := errors.Join(f.startNodes(ctx, d, policy), f.accept(table), f.awaitReady())
	if err != nil {
		f.Stop()
		return nil, fmt.Errorf("virtual: %w", err)
	}
	f.network.ResetCounts()
	return f, nil
}

// within is the one-way delay inside a data centre.
const within = 100 * time.Microsecond

func (f *Cluster) startEndpoints(table *config.Table) {
	for i := range table.Endpoints {
		row := &table.Endpoints[i]
		row.Address = fmt.Sprintf("http://192.0.2.%d:80", i+1)
		if row.Kind == config.KindService {
			f.services[row.ID] = service.New(service.Options{})
			continue
		}
		f.engines[row.ID] = engine.New(engine.Options{
			Speed:     load.SpeedOf(row.Generation),
			Seed:      uint64(i),
			OnPrefill: f.computed.note,
		})
	}
}

func (f *Cluster) startNodes(ctx context.Context, d *deployment.Deployment, policy Policy) error {
	var members []domain.Member
	for i, host := range d.Hosts {
		m := domain.Member{Node: host.Node, Incarnation: 1, DataCentre: host.DataCentre, Address: fmt.Sprintf("198.51.100.%d:7", i+1)}
		members = append(members, m)
	}
	f.peers = peersOf(members)
	for _, m := range members {
		if err := f.startNode(ctx, m, policy); err != nil {
			return err
		}
	}
	return nil
}

func (f *Cluster) startNode(ctx context.Context, m domain.Member, policy Policy) error {
	options := node.Options{
		Transport:      f.network.Node(m),
		Store:          f.store.NewClient(),
		Members:        &members{membership.NewStaticView(&membership.Snapshot{Self: m, Peers: f.peers})},
		Adapters:       adapters{f},
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
	n.Callers(e)
	r := &running{Node: n, echo: e}
	f.nodes[m.DataCentre] = append(f.nodes[m.DataCentre], r)
	f.all = append(f.all, r)
	f.done.Go(func() { _ = n.Run(ctx) })
	return nil
}

func (f *Cluster) accept(table config.Table) error {
	if len(f.all) == 0 {
		return ErrNotReady
	}
	edit := document.Edit{ID: document.NewEditID(), Author: "load"}
	_, err := f.all[0].Table().Edit(context.Background(), edit, config.Diff(config.Table{}, table))
	return err
}

func (f *Cluster) awaitReady() error {
	start := time.Now()
	for _, n := range f.all {
		for n.Ready() != nil {
			if time.Since(start) > joinLimit {
				return fmt.Errorf("%w: %w", ErrNotReady, n.Ready())
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(settle)
	return nil
}

// settle lets pool owners hear of all holders before the first request.
const settle = 5 * time.Second

// Nodes implements load.Target.
func (f *Cluster) Nodes(place domain.DataCentre) int { return len(f.nodes[place]) }

// Send implements load.Target.
func (f *Cluster) Send(place domain.DataCentre, n int, r *http.Request, w http.ResponseWriter) (err error) {
	defer func() {
		if p := recover(); p != nil {
			if p != any(http.ErrAbortHandler) {
				panic(p)
			}
			err = http.ErrAbortHandler
		}
	}()
	f.nodes[place][n].echo.ServeHTTP(w, r)
	return nil
}

// Witness returns the endpoints' own logs.
func (f *Cluster) ServerRecord() *load.ServerRecord {
	total, store := f.network.Total(""), f.store.Counts()
	w := &load.ServerRecord{
		Engines:      make(map[domain.EndpointID][]engine.Run),
		Services:     make(map[domain.EndpointID][]service.Run),
		Counts:       make(map[domain.EndpointID]engine.Counts),
		Repeated:     f.computed.repeatedTokens(),
		PeerMessages: total.Messages,
		PeerBytes:    total.Bytes,
		StoreReads:   store.Reads,
		StoreWrites:  store.Writes,
		StoreWatches: store.Watches,
	}
	for id, e := range f.engines {
		w.Engines[id], w.Counts[id] = e.Runs(), e.Counts()
	}
	for id, s := range f.services {
		w.Services[id] = s.Runs()
	}
	return w
}

// Stop ends all nodes and endpoints.
func (f *Cluster) Stop() {
	f.stop()
	f.done.Wait()
	f.network.Close()
	for _, e := range f.engines {
		e.Close()
	}
}

// adapters gives the stand-ins as endpoints.
type adapters struct{ f *Cluster }

// Engine implements node.Adapters.
func (a adapters) Engine(row *config.EndpointRow) endpoint.Engine { return a.f.engines[row.ID] }

// Service implements node.Adapters.
func (a adapters) Service(row *config.EndpointRow) endpoint.Service { return a.f.services[row.ID] }
