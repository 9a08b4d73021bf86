package entrynode

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/oklog/run"
	"github.com/rs/zerolog"

	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/brittle"
	"hawthornrill.example/hawthornrill/bytebudget"
	"hawthornrill.example/hawthornrill/callers"
	"hawthornrill.example/hawthornrill/directory"
	"hawthornrill.example/hawthornrill/endpoint/exchange"
	"hawthornrill.example/hawthornrill/endpointgate"
	"hawthornrill.example/hawthornrill/endpointlimit"
	"hawthornrill.example/hawthornrill/follow"
	"hawthornrill.example/hawthornrill/gateway"
	"hawthornrill.example/hawthornrill/gossip"
	"hawthornrill.example/hawthornrill/origin"
	"hawthornrill.example/hawthornrill/pacing"
	"hawthornrill.example/hawthornrill/places"
	"hawthornrill.example/hawthornrill/poison"
	"hawthornrill.example/hawthornrill/reach"
	"hawthornrill.example/hawthornrill/retrybudget"
	"hawthornrill.example/hawthornrill/routetable"
	"hawthornrill.example/hawthornrill/tokenlimit"
)

// Adapters are the components that the program chooses.
type Adapters struct {
	Protocol gateway.Protocol
	Source   follow.Source
	Registry follow.Registry
}

// Node is a node of the request path.
type Node struct {
	settings  Settings
	log       zerolog.Logger
	metrics   *metrics.Set
	directory *directory.Directory
	follower  *follow.Follower
	announcer *follow.Announcer
	mesh      *gossip.Mesh
	socket    *gossip.UDP
	// organisationLimits applies the organisations' limits, endpointLimits those that endpoints advertise.
	organisationLimits *tokenlimit.Limiter
	endpointLimits     *endpointlimit.Limiter
	endpointGate       *endpointgate.Gate
	brittle            *brittle.Tracker
	slots              *places.Allocator
	crashParts         *poison.Tracker
	origins            *origin.Keeper
	endpointClient     *exchange.Client
	// reach tells which services this node reaches. peerClient forwards requests for the others to nodes that do.
	reach        *reach.Monitor
	peerClient   *exchange.Client
	gateway      *gateway.Gateway
	callerServer *http.Server
	// headBudget bounds the requests in progress and their heads, nil for no bound.
	headBudget *bytebudget.Budget
	// peerServer serves requests that other nodes forward.
	peerServer *http.Server
	// stopRequests ends the contexts of all requests with a cause.
	stopRequests   context.CancelCauseFunc
	readyServer    *http.Server
	operatorServer *http.Server
	draining       atomic.Bool
	lastReady      atomic.Bool
}

// New creates a node and opens its gossip socket.
func New(s Settings, adapters Adapters, log zerolog.Logger) (*Node, error) {
	n := &Node{settings: s, log: log, metrics: metrics.NewSet(), directory: directory.New()}
	limitMemory(s.Host)
	self := follow.Peer{Node: s.Node, DataCentre: s.DataCentre, Address: s.Listen.Peers}
	n.announcer = &follow.Announcer{Registry: adapters.Registry, Self: self, Log: log, Registered: make(chan struct{})}
	n.follower = follow.New(follow.Dependencies{
		Source:          adapters.Source,
		Directory:       n.directory,
		Clock:           boottime.Now,
		OnConfiguration: func(table *routetable.Table) { n.organisationLimits.AddAccounts(table.Organisations) },
		Confirms:        func() bool { return n.mesh.Confirms() },
		ForwardsChanges: func() bool { return n.mesh.ForwardsChanges() },
		HasForwarder:    func() bool { return n.mesh.HasForwarder() },
		Fleet:           n.fleetSize,
		Registered:      n.announcer.Registered,
		Log:             log,
		Metrics:         n.metrics,
	})
	if err := n.openGossip(); err != nil {
		return nil, err
	}
	n.organisationLimits = tokenlimit.New(tokenlimit.Config{
		Window: seconds(s.Limit.WindowS), Clock: boottime.Now, Fleet: n.mesh.Fleet, Metrics: n.metrics,
	})
	n.endpointLimits = endpointlimit.New(endpointlimit.Config{
		Self: s.Node, Clock: boottime.Now, Members: n.mesh.Members, Directory: n.directory, Log: log, Metrics: n.metrics,
	})
	n.brittle = brittle.New(brittle.Config{
		Self: s.Node, Clock: boottime.Now, Members: n.mesh.Members, Directory: n.directory, Log: log, Metrics: n.metrics,
	})
	n.endpointGate = endpointgate.New(endpointgate.Config{
		Directory: n.directory, Limits: n.endpointLimits, Shares: n.brittle, Clock: boottime.Now, Log: log, Metrics: n.metrics,
	})
	n.slots = places.New(places.Options{
		Node: s.Node, DataCentre: s.DataCentre, CacheTokens: n.cacheTokens, Gate: n.endpointGate, Log: log,
	}, n.directory, n.mesh.Fleet, n.metrics)
	n.crashParts = poison.New(poison.Config{
		Probe: probeEnded, Endpoints: n.endpointCount, AllHeard: n.mesh.AllHeard, Lost: func(service string) bool { return n.reach.Lost(service) },
		Log: log, Metrics: n.metrics,
	})
	n.origins = origin.New(origin.Config{
		Self: s.Node, Members: n.mesh.Heard, Others: n.mesh.Others, AllHeard: n.mesh.AllHeard, Send: n.mesh.SendMessage,
		Query: newOriginClient().query, VersionChanges: n.directory.TakeVersionChanges, Clock: boottime.Now, Log: log, Metrics: n.metrics,
	})
	n.endpointClient = exchange.New(exchange.Options{MaxConnections: s.Host.endpointConnections(), MaxIdle: n.maxIdleConnections}, n.metrics)
	n.reach = reach.New(reach.Config{
		DataCentre: s.DataCentre, Directory: n.directory, Connect: connect, Address: s.Listen.Peers, OnLost: n.closeConnections,
		Log: log, Metrics: n.metrics,
	})
	n.peerClient = exchange.New(exchange.Options{
		Receivers: "peer", MaxConnections: s.Host.peerConnections(), MaxIdle: func(endpointID) int { return maxIdlePerPeer },
	}, n.metrics)
	n.gateway = gateway.New(gateway.Dependencies{
		Protocol:           adapters.Protocol,
		Config:             n.follower,
		Directory:          n.directory,
		OrganisationLimits: n.organisationLimits,
		EndpointLimits:     n.endpointLimits,
		EndpointGate:       n.endpointGate,
		Brittle:            n.brittle,
		RetryBudget: retrybudget.New(retrybudget.Options{
			Ratio: s.Retry.Ratio, Slack: s.Retry.Slack, Window: seconds(s.Retry.WindowS),
		}, boottime.Now, n.nodeCount),
		Places:         n.slots,
		CrashParts:     n.crashParts,
		Origins:        n.origins,
		EndpointClient: n.endpointClient,
		Reach:          n.reach,
		PeerClient:     n.peerClient,
		Clock:          boottime.Now,
		Log:            log,
		Metrics:        n.metrics,
	}, gateway.Options{
		MaxKeyAge: n.maxKeyAge(keyAgeMargin), MaxConfigLag: n.maxConfigLag(),
		MaxHeldBodyBytes: s.Host.memoryBytes(bodyFraction), MaxHeldAnswerBytes: s.Host.memoryBytes(answerFraction), Node: s.Node,
	})
	n.metrics.NewGauge("hawthornrill_service_versions", func() float64 { return float64(n.directory.Current().MaxVersions()) })
	n.headBudget = n.newHeadBudget()
	n.openServers()
	return n, nil
}

// maxConfigLag returns how long a later configuration may be known to exist before requests are refused, zero for no limit.
func (n *Node) maxConfigLag() time.Duration {
	apply := seconds(n.settings.Configuration.ApplyMS / 1000)
	if apply <= 0 {
		return 0
	}
	return max(apply-configLagMargin, 1)
}

// limitMemory sets the memory limit of the Go runtime.
func limitMemory(h Host) {
	if h.MemoryMB > 0 {
		debug.SetMemoryLimit(h.memoryBytes(memoryFraction))
	}
}

// maxKeyAge returns the maximum age of the keys less a margin, zero for no limit.
func (n *Node) maxKeyAge(margin time.Duration) time.Duration {
	if !n.settings.Keys.Strict {
		return 0
	}
	return max(seconds(n.settings.Keys.MaxAgeMS/1000)-margin, 1)
}

func (n *Node) nodeCount() int { return n.mesh.Fleet().Known }

// fleetSize returns the number of nodes, and whether there is one from which no recent report was received.
func (n *Node) fleetSize() (nodes int, silent bool) {
	fleet := n.mesh.Fleet()
	return fleet.Known, fleet.Heard < fleet.Known
}

func (n *Node) openGossip() error {
	socket, err := gossip.ListenUDP(n.settings.Listen.Peers)
	if err != nil {
		return err
	}
	n.socket = socket
	n.mesh = gossip.New(gossip.Dependencies{
		Self:               n.settings.Node,
		DataCentre:         n.settings.DataCentre,
		Incarnation:        rand.Uint64(),
		Transport:          socket,
		Clock:              boottime.Now,
		Peers:              n.peerAddresses,
		Fill:               n.fillReport,
		ConfigurationSince: n.follower.ConfigurationSince,
		OnReport:           n.handleReport,
		OnMessage:          func(datagram []byte, from string) { n.origins.Receive(datagram, from) },
		Log:                n.log,
		Metrics:            n.metrics,
	})
	return nil
}

func (n *Node) peerAddresses() []gossip.Address {
	nodes := n.follower.Nodes()
	addresses := make([]gossip.Address, 0, len(nodes))
	for _, p := range nodes {
		addresses = append(addresses, gossip.Address{Node: p.Node, DataCentre: p.DataCentre, HostPort: p.Address})
	}
	return addresses
}

// fillReport sets the fields of a gossip report to the other nodes.
func (n *Node) fillReport(report *gossip.Report) {
	report.Leaving = n.draining.Load()
	if table := n.follower.Table(); table != nil {
		report.Version = table.Version
		report.Age = n.follower.Age(boottime.Now())
	}
	fillListState(report, n.follower, boottime.Now())
	report.StoreFails = n.follower.StoreFails()
	fillStoreAvailability(report, n.follower.StoreAvailability(), boottime.Now())
	report.SetEndpointChanges(n.follower.EndpointChanges())
	n.slots.FillReport(report)
	n.reach.FillReport(report)
	n.crashParts.FillReport(report)
	n.organisationLimits.AddToReport(report)
	n.endpointLimits.AddToReport(report)
	n.brittle.AddToReport(report)
}

// handleReport applies the gossip report of another node.
func (n *Node) handleReport(report *gossip.Report, sent boottime.Instant) {
	n.slots.ApplyReport(report)
	n.reach.ApplyReport(report)
	n.crashParts.ApplyReport(report)
	n.organisationLimits.ApplyReport(report)
	n.endpointLimits.ApplyReport(report)
	n.brittle.ApplyReport(report)
	update := follow.PeerState{
		Version: report.Version, Endpoints: follow.Revision(report.Endpoints),
		NotForwarded: report.PassesOn && report.DataCentre == n.settings.DataCentre && len(report.Document)+len(report.Steps) == 0,
	}
	update.Store = storeAvailability(report, sent, boottime.Now())
	update.EndpointsConfirmed, update.StoreRevision = listConfirmed(report, sent), follow.Revision(report.StoreRevision)
	if sent > 0 {
		update.Confirmed = sent.Add(-report.Age)
	}
	changes, err := report.ConfigurationChanges()
	if err != nil {
		n.log.Warn().Err(err).Str("peer", string(report.From)).Msg("relayed configuration changes can't be decoded")
	}
	n.follower.ApplyConfigurationChanges(report.From, changes)
	n.follower.ApplyConfiguration(report.From, report.Version, report.Document)
	n.follower.ApplyEndpointChanges(report.EndpointChanges())
	n.follower.ObservePeer(update)
}

// Ready reports whether the node accepts requests, and if not, the reason.
func (n *Node) Ready() (bool, string) {
	switch {
	case n.draining.Load():
		return false, "leaving"
	case n.follower.Table() == nil:
		return false, "no configuration yet"
	case n.directory.Current().Len() == 0:
		return false, "no endpoints yet"
	case n.settings.Keys.Strict && n.follower.Age(boottime.Now()) > n.maxKeyAge(readyKeyAgeMargin):
		return false, "the store has been out of reach for too long"
	}
	return true, ""
}

func (n *Node) openServers() {
	requests, stop := context.WithCancelCause(context.Background())
	n.stopRequests = stop
	n.callerServer = &http.Server{
		BaseContext:    func(net.Listener) context.Context { return requests },
		Addr:           n.settings.Listen.Callers,
		Handler:        http.HandlerFunc(n.serveCaller),
		MaxHeaderBytes: maxHeaderBytes,
		ConnContext:    callers.ConnContext,
		ConnState:      callers.TrackState,
		ErrorLog:       debugLogger(n.log),
	}
	n.peerServer = &http.Server{
		BaseContext:       func(net.Listener) context.Context { return requests },
		ConnContext:       callers.ConnContext,
		ConnState:         callers.TrackState,
		Addr:              n.settings.Listen.Peers,
		Handler:           http.HandlerFunc(n.servePeer),
		ReadHeaderTimeout: peerHeaderTimeout,
		IdleTimeout:       peerIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          debugLogger(n.log),
	}
	n.readyServer = n.portServer(n.settings.Listen.Ready, http.HandlerFunc(n.serveReady))
	n.operatorServer = n.portServer(n.settings.Listen.Operators, n.operatorHandler())
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	ready, reason := n.Ready()
	if n.lastReady.Swap(ready) != ready {
		n.log.Info().Bool("ready", ready).Str("reason", reason).Msg("readiness changed")
	}
	if !ready {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Run serves until the context ends, then shuts down gracefully.
func (n *Node) Run(ctx context.Context) error {
	listener, err := callers.Listen(n.callerServer.Addr)
	if err != nil {
		return fmt.Errorf("entrynode: listen for callers: %w", err)
	}
	var group run.Group
	background, stop := context.WithCancel(context.Background())
	defer stop()
	callerListener := callers.NewListener(listener, n.settings.Host.callerConnections())
	callerListener.SetFinalResponse(gateway.FinalResponse())
	callerListener.SetHeadLimits(n.callerHeadLimits())
	n.addBackground(&group, background, stop, callerListener)
	group.Add(func() error { return n.serveCallers(ctx, callerListener) }, func(error) { _ = n.callerServer.Close() })
	n.log.Info().Str("node", string(n.settings.Node)).Str("callers", n.callerServer.Addr).Msg("node started")
	err = group.Run()
	n.log.Info().AnErr("cause", err).Msg("node stopped")
	if errors.Is(err, errDrained) {
		return nil
	}
	return err
}

// addBackground adds the background tasks and the other servers to the run group.
func (n *Node) addBackground(group *run.Group, ctx context.Context, stop func(), listener *callers.Listener) {
	sweep := func(ctx context.Context) error {
		return pacing.Every(ctx, idleSweepInterval, func() { n.sweepCallers(listener) })
	}
	background := []func(context.Context) error{
		n.follower.Run, n.announcer.Run, n.mesh.Run, n.mesh.Listen, n.slots.Run, n.sweepEndpoints, sweep, n.reach.Run, n.origins.Run, n.crashParts.Run,
	}
	for _, execute := range background {
		group.Add(func() error { return execute(ctx) }, func(error) {
			stop()
			_ = n.socket.Close() // ends Listen; fails if it is closed already
		})
	}
	group.Add(func() error { return n.servePeers(ctx) }, func(error) { _ = n.peerServer.Close() })
	servers := []*http.Server{n.readyServer}
	if n.operatorServer.Addr != "" {
		servers = append(servers, n.operatorServer)
	}
	for _, server := range servers {
		group.Add(func() error { return serveLimited(server, maxPortConnections, portHeadLimits()) }, func(error) { _ = server.Close() })
	}
}

// servePeers serves requests that other nodes forward until the context ends, also after the server was shut down.
func (n *Node) servePeers(ctx context.Context) error {
	err := serveLimited(n.peerServer, n.settings.Host.forwarderConnections(), n.peerHeadLimits())
	if errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return ctx.Err()
	}
	return fmt.Errorf("entrynode: listen for other nodes: %w", err)
}

// endpointSweepInterval is the interval at which connections to removed endpoints are closed and ended rests are forgotten.
const endpointSweepInterval = time.Second

func (n *Node) sweepEndpoints(ctx context.Context) error {
	return pacing.Every(ctx, endpointSweepInterval, func() {
		n.endpointGate.Sweep()
		n.brittle.Sweep()
		snapshot := n.directory.Current()
		n.endpointClient.PruneIdle(func(id endpointID) bool { return snapshot.Endpoint(id) != nil })
		n.peerClient.PruneIdle(func(endpointID) bool { return true })
	})
}
