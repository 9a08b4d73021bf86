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
	// OperatorName and OperatorKey are the demonstration operator's. They are no
	// secret.
	OperatorName = "demo"
	OperatorKey  = "demo-operator-key"
)

const (
	// readyPoll is the interval at which Start looks whether the nodes are ready.
	readyPoll = 20 * time.Millisecond
	// hostListLag is how late the host list is.
	hostListLag = 2 * time.Second
)

// Demo is a running deployment.
type Demo struct {
	options Options
	table   config.Table
	store   string
	hosts   string
	files   *files
	// peers are the nodes' listeners for peers.
	peers    []net.Listener
	sites    []*site
	engines  map[domain.EndpointID]*engine.Engine
	services map[domain.EndpointID]*service.Service
	daemons  []*daemon.Daemon

	// nodes and endpoints are the goroutines that run them; stop ends the nodes.
	nodes     errgroup.Group
	endpoints errgroup.Group
	stop      context.CancelFunc
}

// Start runs the deployment and returns when all nodes are ready, or fails.
// Stop must be called.
func Start(ctx context.Context, options Options) (*Demo, error) {
	d := &Demo{
		options:  options,
		table:    options.Deployment.Table.Clone(),
		engines:  make(map[domain.EndpointID]*engine.Engine),
		services: make(map[domain.EndpointID]*service.Service),
	}
	running, stop := context.WithCancel(context.Background())
	d.stop = stop
	if err := d.start(ctx, running); err != nil {
		_ = d.Stop()
		return nil, fmt.Errorf("demo: %w", err)
	}
	return d, nil
}

func (d *Demo) start(ctx, running context.Context) error {
	seeds, err := d.openPeers()
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
	if err := d.accept(ctx); err != nil {
		return err
	}
	return d.awaitReady(ctx)
}

// startPlatform runs the stand-ins of the store and of the host list.
func (d *Demo) startPlatform(seeds []settings.Seed) error {
	store, err := d.serve(storeserver.NewHandler(memstore.New(memstore.Options{}), storeserver.Options{}))
	if err != nil {
		return err
	}
	list := hostserver.New(hostListLag)
	for _, seed := range seeds {
		list.Put(hostlist.Host{Node: seed.Node, Address: seed.Address, DataCentre: seed.DataCentre, State: hostlist.StateLive})
	}
	hosts, err := d.serve(hostserver.NewHandler(list))
	if err != nil {
		return err
	}
	d.store, d.hosts = store.url(), hosts.url()
	return nil
}

// serve runs a stand-in until Stop.
func (d *Demo) serve(handler http.Handler) (*site, error) {
	s, err := newSite(handler)
	if err != nil {
		return nil, err
	}
	d.sites = append(d.sites, s)
	d.endpoints.Go(s.serve)
	return s, nil
}

// startEndpoints runs a stand-in for each endpoint row and fills in its address.
func (d *Demo) startEndpoints() error {
	for i := range d.table.Endpoints {
		row := &d.table.Endpoints[i]
		s, err := d.serve(d.newEndpoint(row, uint64(i)))
		if err != nil {
			return err
		}
		row.Address = s.url()
	}
	return nil
}

// newEndpoint makes the stand-in of a row.
func (d *Demo) newEndpoint(row *config.EndpointRow, seed uint64) http.Handler {
	if row.Kind == config.KindService {
		s := service.New(service.Options{})
		d.services[row.ID] = s
		return s.Handler()
	}
	options := engine.Options{Speed: speed(row.Generation)}
	if d.options.Engine != nil {
		options = d.options.Engine(row)
	}
	options.IgnoreFencing = !row.ChecksFencing
	options.Seed = seed
	e := engine.New(options)
	d.engines[row.ID] = e
	return engine.NewHandler(e)
}

func speed(generation string) engine.Speed {
	if generation == deployment.GenerationB {
		return engine.GenerationB()
	}
	return engine.GenerationA()
}

// startNodes runs a daemon for each host.
func (d *Demo) startNodes(running context.Context, seeds []settings.Seed) error {
	var err error
	if d.files, err = newFiles(); err != nil {
		return err
	}
	for i := range d.options.Deployment.Hosts {
		s, err := d.settings(i, seeds)
		if err != nil {
			return err
		}
		node, err := daemon.New(daemon.Options{Settings: s, Log: d.options.Log, Peers: d.peers[i]})
		if err != nil {
			return err
		}
		d.daemons = append(d.daemons, node)
		d.nodes.Go(func() error { return node.Run(running) })
	}
	return nil
}

// settings returns what the node's TOML file would say.
func (d *Demo) settings(i int, seeds []settings.Seed) (settings.Settings, error) {
	s := settings.Default()
	s.Node, s.DataCentre = seeds[i].Node, seeds[i].DataCentre
	s.Listen = settings.Listen{Callers: loopback, Operators: loopback, Peers: seeds[i].Address}
	s.Platform.Store, s.Platform.HostList = d.store, d.hosts
	s.Operators.Keys = []settings.OperatorKey{{Name: OperatorName, SHA256: deployment.KeyHash(OperatorKey)}}
	s.Sessions.SecretFiles = []string{d.files.sessionSecret()}
	s.Peers.Seeds = seeds
	s.Shutdown.NoticePeriod.Duration = 0
	certificate, err := d.files.issue(s.Node)
	if err != nil {
		return s, err
	}
	s.Peers.TLS = certificate
	if problems := s.Check(); len(problems) > 0 {
		return s, problems
	}
	return s, nil
}

// openPeers opens the nodes' listeners for peers, so that all addresses are known
// before the first node starts.
func (d *Demo) openPeers() ([]settings.Seed, error) {
	var seeds []settings.Seed
	for _, host := range d.options.Deployment.Hosts {
		listener, err := net.Listen("tcp", loopback)
		if err != nil {
			return nil, err
		}
		d.peers = append(d.peers, listener)
		seeds = append(seeds, settings.Seed{Node: host.Node, DataCentre: host.DataCentre, Address: listener.Addr().String()})
	}
	return seeds, nil
}

// accept has the first node accept the deployment's table.
func (d *Demo) accept(ctx context.Context) error {
	changes := config.Diff(config.Table{}, d.table)
	for {
		edit := document.Edit{ID: document.NewEditID(), Author: OperatorName, Note: "the demo's table"}
		_, err := d.daemons[0].Node().Table().Edit(ctx, edit, changes)
		if err == nil || ctx.Err() != nil || invalid(err) {
			return err
		}
		time.Sleep(readyPoll)
	}
}

// invalid reports whether the table can't be accepted, ever.
func invalid(err error) bool {
	var problems config.Problems
	return errors.As(err, &problems)
}

func (d *Demo) awaitReady(ctx context.Context) error {
	for {
		err := d.notReady()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(readyPoll):
		}
	}
}

// notReady returns why the first node that is not ready is not, nil if all are at
// once: one that joins later changes what the earlier ones may decide.
func (d *Demo) notReady() error {
	for _, node := range d.daemons {
		if err := node.Node().Ready(); err != nil {
			return fmt.Errorf("%s is not ready: %w", node.Addresses().Callers, err)
		}
	}
	return nil
}

// Callers returns the base URLs of the nodes.
func (d *Demo) NodeURLs() []string {
	var urls []string
	for _, node := range d.daemons {
		urls = append(urls, "http://"+node.Addresses().Callers)
	}
	return urls
}

// Runs counts how often each request was run by the endpoints, the demo's witnesses.
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

// Stop drains all nodes, then ends the stand-ins.
func (d *Demo) Stop() error {
	d.stop()
	nodes := d.nodes.Wait()
	d.files.remove()
	for _, s := range d.sites {
		s.close()
	}
	return errors.Join(nodes, d.endpoints.Wait())
}
