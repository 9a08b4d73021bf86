package demo

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/daemon"
	"hawthornrill.example/hawthornrill/deployment"
	"hawthornrill.example/hawthornrill/document"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/hostlist"
	"hawthornrill.example/hawthornrill/settings"
	"hawthornrill.example/hawthornrill/standin/engine"
	"hawthornrill.example/hawthornrill/standin/hostserver"
	"hawthornrill.example/hawthornrill/standin/service"
	"hawthornrill.example/hawthornrill/standin/storeserver"
	"hawthornrill.example/hawthornrill/store/memstore"
)

const (
	// OperatorName and OperatorKey are the demo operator's name and key. The key is
	// public.
	OperatorName = "demo"
	OperatorKey  = "demo-operator-key"
)

const (
	// readyPollInterval is the interval between readiness checks of the nodes, and
	// between attempts to apply the table.
	readyPollInterval = 20 * time.Millisecond
	// hostListDelay is the time after which the host list shows a change.
	hostListDelay = 2 * time.Second
)

// Demo is a running deployment.
type Demo struct {
	options     Options
	table       config.Table
	storeURL    string
	hostListURL string
	files       *secretFiles
	// peerListeners are the nodes' listeners for peer connections.
	peerListeners []net.Listener
	servers       []*httpServer
	engines       map[domain.EndpointID]*engine.Engine
	services      map[domain.EndpointID]*service.Service
	daemons       []*daemon.Daemon

	// nodeGroup and standInGroup run the nodes and the stand-ins; cancelNodes stops
	// the nodes.
	nodeGroup    errgroup.Group
	standInGroup errgroup.Group
	cancelNodes  context.CancelFunc
}

// Start starts the deployment and returns when all nodes are ready. The caller must
// call Stop.
func Start(ctx context.Context, options Options) (*Demo, error) {
	d := &Demo{
		options:  options,
		table:    options.Deployment.Table.Clone(),
		engines:  make(map[domain.EndpointID]*engine.Engine),
		services: make(map[domain.EndpointID]*service.Service),
	}
	running, stop := context.WithCancel(context.Background())
	d.cancelNodes = stop
	if err := d.start(ctx, running); err != nil {
		_ = d.Stop()
		return nil, fmt.Errorf("demo: %w", err)
	}
	return d, nil
}

func (d *Demo) start(ctx, running context.Context) error {
	seeds, err := d.openPeerListeners()
	if err != nil {
		return err
	}
	if err := d.startPlatform(seeds); err != nil {
		return err
	}
	if err := d.startEndpoints(); err != nil {
		return err
	}
	if err := d.startNodes(running, seeds); err != nil {
		return err
	}
	if err := d.applyTable(ctx); err != nil {
		return err
	}
	return d.waitReady(ctx)
}

// startPlatform starts the stand-ins of the store and of the host list.
func (d *Demo) startPlatform(seeds []settings.Seed) error {
	store, err := d.serveStandIn(storeserver.NewHandler(memstore.New(memstore.Options{}), storeserver.Options{}))
	if err != nil {
		return err
	}
	list := hostserver.New(hostListDelay)
	for _, seed := range seeds {
		list.Put(hostlist.Host{Node: seed.Node, Address: seed.Address, DataCentre: seed.DataCentre, State: hostlist.StateLive})
	}
	hosts, err := d.serveStandIn(hostserver.NewHandler(list))
	if err != nil {
		return err
	}
	d.storeURL, d.hostListURL = store.url(), hosts.url()
	return nil
}

// serveStandIn serves a stand-in on a free port until Stop.
func (d *Demo) serveStandIn(handler http.Handler) (*httpServer, error) {
	s, err := newHTTPServer(handler)
	if err != nil {
		return nil, err
	}
	d.servers = append(d.servers, s)
	d.standInGroup.Go(s.serve)
	return s, nil
}

// startEndpoints starts a stand-in for each endpoint row and sets the row's address.
func (d *Demo) startEndpoints() error {
	for i := range d.table.Endpoints {
		row := &d.table.Endpoints[i]
		s, err := d.serveStandIn(d.newEndpoint(row, uint64(i)))
		if err != nil {
			return err
		}
		row.Address = s.url()
	}
	return nil
}

// newEndpoint returns the handler of an endpoint row's stand-in.
func (d *Demo) newEndpoint(row *config.EndpointRow, seed uint64) http.Handler {
	if row.Kind == config.KindService {
		s := service.New(service.Options{})
		d.services[row.ID] = s
		return s.Handler()
	}
	options := engine.Options{Speed: speedOf(row.Generation)}
	if d.options.Engine != nil {
		options = d.options.Engine(row)
	}
	options.IgnoreFencing = !row.ChecksFencing
	options.Seed = seed
	e := engine.New(options)
	d.engines[row.ID] = e
	return engine.NewHandler(e)
}

func speedOf(generation string) engine.Speed {
	if generation == deployment.GenerationB {
		return engine.GenerationB()
	}
	return engine.GenerationA()
}

// startNodes starts a daemon for each host.
func (d *Demo) startNodes(running context.Context, seeds []settings.Seed) error {
	var err error
	if d.files, err = newSecretFiles(); err != nil {
		return err
	}
	for i := range d.options.Deployment.Hosts {
		s, err := d.nodeSettings(i, seeds)
		if err != nil {
			return err
		}
		node, err := daemon.New(daemon.Options{Settings: s, Log: d.options.Log, Peers: d.peerListeners[i]})
		if err != nil {
			return err
		}
		d.daemons = append(d.daemons, node)
		d.nodeGroup.Go(func() error { return node.Run(running) })
	}
	return nil
}

// nodeSettings returns the settings that a node would read from its TOML file.
func (d *Demo) nodeSettings(i int, seeds []settings.Seed) (settings.Settings, error) {
	s := settings.Default()
	s.Node, s.DataCentre = seeds[i].Node, seeds[i].DataCentre
	s.Listen = settings.Listen{Callers: loopback, Operators: loopback, Peers: seeds[i].Address}
	s.Platform.Store, s.Platform.HostList = d.storeURL, d.hostListURL
	s.Operators.Keys = []settings.OperatorKey{{Name: OperatorName, SHA256: deployment.KeyHash(OperatorKey)}}
	s.Sessions.SecretFiles = []string{d.files.sessionSecretPath()}
	s.Peers.Seeds = seeds
	s.Shutdown.NoticePeriod.Duration = 0
	certificate, err := d.files.issueCertificate(s.Node)
	if err != nil {
		return s, err
	}
	s.Peers.TLS = certificate
	if problems := s.Check(); len(problems) > 0 {
		return s, problems
	}
	return s, nil
}

// openPeerListeners opens the nodes' listeners for peer connections, so that all seed
// addresses are known before the first node starts.
func (d *Demo) openPeerListeners() ([]settings.Seed, error) {
	var seeds []settings.Seed
	for _, host := range d.options.Deployment.Hosts {
		listener, err := net.Listen("tcp", loopback)
		if err != nil {
			return nil, err
		}
		d.peerListeners = append(d.peerListeners, listener)
		seeds = append(seeds, settings.Seed{Node: host.Node, DataCentre: host.DataCentre, Address: listener.Addr().String()})
	}
	return seeds, nil
}

// applyTable submits the deployment's table to the first node. It retries until the
// table is accepted or invalid, or the context ends.
func (d *Demo) applyTable(ctx context.Context) error {
	changes := config.Diff(config.Table{}, d.table)
	for {
		edit := document.Edit{ID: document.NewEditID(), Author: OperatorName, Note: "the demo's table"}
		_, err := d.daemons[0].Node().Config().Edit(ctx, edit, changes)
		if err == nil || ctx.Err() != nil || isInvalidTable(err) {
			return err
		}
		time.Sleep(readyPollInterval)
	}
}

// isInvalidTable reports whether the table was rejected as invalid, so that a retry is
// useless.
func isInvalidTable(err error) bool {
	var problems config.Problems
	return errors.As(err, &problems)
}

func (d *Demo) waitReady(ctx context.Context) error {
	for {
		err := d.checkReady()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(readyPollInterval):
		}
	}
}

// checkReady returns the reason why the first unready node is not ready. It returns
// nil only if all nodes are ready in the same pass, since a node that joins later
// changes what the earlier ones may decide.
func (d *Demo) checkReady() error {
	for _, node := range d.daemons {
		if err := node.Node().Ready(); err != nil {
			return fmt.Errorf("%s is not ready: %w", node.Addresses().Callers, err)
		}
	}
	return nil
}

// NodeURLs returns the base URLs at which the nodes take callers' requests.
func (d *Demo) NodeURLs() []string {
	var urls []string
	for _, node := range d.daemons {
		urls = append(urls, "http://"+node.Addresses().Callers)
	}
	return urls
}

// RunCounts returns how often the endpoints ran each request, by request key, according
// to the endpoints' own logs.
func (d *Demo) RunCounts() map[string]int {
	counts := make(map[string]int)
	for _, s := range d.services {
		for _, r := range s.Runs() {
			counts[r.Key]++
		}
	}
	for _, e := range d.engines {
		for _, r := range e.Runs() {
			counts[r.Key]++
		}
	}
	return counts
}

// Stop drains all nodes, then stops the stand-ins.
func (d *Demo) Stop() error {
	d.cancelNodes()
	nodes := d.nodeGroup.Wait()
	d.files.remove()
	for _, s := range d.servers {
		s.close()
	}
	return errors.Join(nodes, d.standInGroup.Wait())
}
