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
	"hawthornrill.example/hawthornrill/directory"
	"hawthornrill.example/hawthornrill/endpoint/exchange"
	"hawthornrill.example/hawthornrill/endpointlimit"
	"hawthornrill.example/hawthornrill/follow"
	"hawthornrill.example/hawthornrill/gateway"
	"hawthornrill.example/hawthornrill/gossip"
	"hawthornrill.example/hawthornrill/pacing"
	"hawthornrill.example/hawthornrill/places"
	"hawthornrill.example/hawthornrill/retrybudget"
	"hawthornrill.example/hawthornrill/routetable"
	"hawthornrill.example/hawthornrill/routing/quarantine"
	"hawthornrill.example/hawthornrill/tokenlimit"
)

// Adapters are what the program chooses.
type Adapters struct {
	Protocol gateway.Protocol
	Source   follow.Source
	Registry follow.Registry
}

// Node is a node's parts.
type Node struct {
	settings  Settings
	log       zerolog.Logger
	metrics   *metrics.Set
	directory *directory.Directory
	follower  *follow.Follower
	announcer *follow.Announcer
	mesh      *gossip.Mesh
	socket    *gossip.UDP
	// limits are the organisations', endpointLimits those that endpoints name.
	limits         *tokenlimit.Limiter
	endpointLimits *endpointlimit.Limiter
	desk           *places.Allocator
	suspects       *quarantine.Tracker
	endpoints      *exchange.Client
	gateway        *gateway.Gateway
	callers        *http.Server
	ready          *http.Server
	operators      *http.Server
	leaving        atomic.Bool
	wasReady       atomic.Bool
}

// New puts a node together and opens its sockets.
func New(s Settings, adapters Adapters, log zerolog.Logger) (*Node, error) {
	n := &Node{settings: s, log: log, metrics: metrics.NewSet(), directory: directory.New()}
	limitMemory(s.Host)
	self := follow.Peer{Node: s.Node, DataCentre: s.DataCentre, Address: s.Listen.Peers}
	n.announcer = &follow.Announcer{Registry: adapters.Registry, Self: self, Log: log, Registered: make(chan struct{})}
	n.follower = follow.New(follow.Dependencies{
		Source:          adapters.Source,
		Directory:       n.directory,
		Clock:           boottime.Now,
		OnConfiguration: func(table *routetable.Table) { n.limits.AddAccounts(table.Organisations) },
		Confirms:        func() bool { return n.mesh.Confirms() },
		ForwardsChanges: func() bool { return n.mesh.ForwardsChanges() },
		HasForwarder:    func() bool { return n.mesh.HasForwarder() },
		Fleet:           n.fleet,
		Registered:      n.announcer.Registered,
		Log:             log,
		Metrics:         n.metrics,
	})
	if err := n.openMesh(); err != nil {
		return nil, err
	}
	n.limits = tokenlimit.New(tokenlimit.Config{
		Window: seconds(s.Limit.WindowS), Clock: boottime.Now, Fleet: n.mesh.Fleet, Metrics: n.metrics,
	})
	n.endpointLimits = endpointlimit.New(endpointlimit.Config{
		Self: s.Node, Clock: boottime.Now, Members: n.mesh.Members, Directory: n.directory, Log: log, Metrics: n.metrics,
	})
	n.desk = places.New(places.Options{
		Node: s.Node, DataCentre: s.DataCentre, CacheTokens: n.cacheTokens, Limits: n.endpointLimits, Log: log,
	}, n.directory, n.mesh.Fleet, n.metrics)
	n.suspects = quarantine.NewTracker(log)
	n.endpoints = exchange.New(exchange.Options{MaxConnections: s.Host.endpointConnections(), MaxIdle: n.idleAt}, n.metrics)
	n.gateway = gateway.New(gateway.Dependencies{
		Protocol:           adapters.Protocol,
		Config:             n.follower,
		Directory:          n.directory,
		OrganisationLimits: n.limits,
		EndpointLimits:     n.endpointLimits,
		RetryBudget: retrybudget.New(retrybudget.Options{
			Ratio: s.Retry.Ratio, Slack: s.Retry.Slack, Window: seconds(s.Retry.WindowS),
		}, boottime.Now, n.nodes),
		Places:         n.desk,
		Quarantine:     n.suspects,
		EndpointClient: n.endpoints,
		Clock:          boottime.Now,
		Log:            log,
		Metrics:        n.metrics,
	}, gateway.Options{MaxKeyAge: n.keyAge(keyAgeMargin), MaxConfigLag: n.behindMost(), MaxHeldBodyBytes: int64(bodyPart * float64(s.Host.MemoryMB) * (1 << 20))})
	n.openServers()
	return n, nil
}

// behindMost is for how long a later configuration may be known to exist before requests are refused, zero for no bound.
func (n *Node) behindMost() time.Duration {
	apply := seconds(n.settings.Configuration.ApplyMS / 1000)
	if apply <= 0 {
		return 0
	}
	return max(apply-applyMargin, 1)
}

// limitMemory keeps the runtime within the host's memory.
func limitMemory(h Host) {
	if h.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(h.MemoryMB) * (1 << 20)))
	}
}

// keyAge is the bound on the age of the keys, less a margin; zero for none.
func (n *Node) keyAge(margin time.Duration) time.Duration {
	if !n.settings.Keys.Strict {
		return 0
	}
	return max(seconds(n.settings.Keys.MaxAgeMS/1000)-margin, 1)
}

func (n *Node) nodes() int { return n.mesh.Fleet().Known }

// fleet returns the number of nodes, and whether one of them is silent.
func (n *Node) fleet() (nodes int, silent bool) {
	fleet := n.mesh.Fleet()
	return fleet.Known, fleet.Heard < fleet.Known
}

// cacheTokens is the memory of a service's engines.
func (n *Node) cacheTokens(service string) int {
	if table := n.follower.Table(); table != nil {
		return table.Services[service].CacheTokens
	}
	return 0
}

func (n *Node) idleTimeout() time.Duration {
	if table := n.follower.Table(); table != nil {
		return table.Limits.IdleTimeout
	}
	return 0
}

func (n *Node) openMesh() error {
	socket, err := gossip.ListenUDP(n.settings.Listen.Peers)
	if err != nil {
		return err
	}
	n.socket = socket
	n.mesh = gossip.New(gossip.Dependencies{
		Self:               n.settings.Node,
		DataCentre:         n.settings.DataCentre,
		Life:               rand.Uint64(),
		Transport:          socket,
		Clock:              boottime.Now,
		Peers:              n.peers,
		Fill:               n.fill,
		ConfigurationSince: n.follower.ConfigurationSince,
		OnReport:           n.heard,
		Log:                n.log,
		Metrics:            n.metrics,
	})
	return nil
}

func (n *Node) peers() []gossip.Address {
	listed := n.follower.Nodes()
	addresses := make([]gossip.Address, 0, len(listed))
	for _, p := range listed {
		addresses = append(addresses, gossip.Address{Node: p.Node, DataCentre: p.DataCentre, HostPort: p.Address})
	}
	return addresses
}

// fill completes a report to the other nodes.
func (n *Node) fill(report *gossip.Report) {
	report.Leaving = n.leaving.Load()
	if table := n.follower.Table(); table != nil {
		report.Version = table.Version
		report.Age = n.follower.Age(boottime.Now())
	}
	_, last := n.follower.Revision(follow.Endpoints)
	report.Endpoints = uint64(last)
	report.Changes, report.PassesOn = n.follower.EndpointChanges()
	n.desk.FillReport(report)
	report.Broken = n.suspects.RecentEvidence()
	n.limits.AddToReport(report)
	n.endpointLimits.AddToReport(report)
}

// heard takes another node's report.
func (n *Node) heard(report *gossip.Report, sent boottime.Instant) {
	n.desk.ApplyReport(report)
	n.suspects.MergeEvidence(report.Broken)
	n.limits.ApplyReport(report)
	n.endpointLimits.ApplyReport(report)
	word := follow.PeerState{
		Version: report.Version, Endpoints: follow.Revision(report.Endpoints),
		NotForwarded: report.PassesOn && report.DataCentre == n.settings.DataCentre && len(report.Document)+len(report.Steps) == 0,
	}
	if sent > 0 {
		word.Confirmed = sent.Add(-report.Age)
	}
	changes, err := report.ConfigurationChanges()
	if err != nil {
		n.log.Warn().Err(err).Str("peer", string(report.From)).Msg("passed-on change of the configuration can't be read")
	}
	n.follower.ApplyConfigurationChanges(report.From, changes)
	n.follower.ApplyConfiguration(report.From, report.Version, report.Document)
	n.follower.ApplyEndpointChanges(report.Changes)
	n.follower.ObservePeer(word)
}

// Ready reports whether the node takes requests, and why not.
func (n *Node) Ready() (bool, string) {
	switch {
	case n.leaving.Load():
		return false, "leaving"
	case n.follower.Table() == nil:
		return false, "no configuration yet"
	case n.directory.Current().Len() == 0:
		return false, "no endpoints yet"
	case n.settings.Keys.Strict && n.follower.Age(boottime.Now()) > n.keyAge(readyMargin):
		return false, "the store has been out of reach for too long"
	}
	return true, ""
}

func (n *Node) openServers() {
	n.callers = &http.Server{
		Addr:              n.settings.Listen.Callers,
		Handler:           n.gateway,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeadBytes,
		ConnState:         observeCaller,
		ErrorLog:          quiet(n.log),
	}
	n.ready = &http.Server{Addr: n.settings.Listen.Ready, Handler: http.HandlerFunc(n.serveReady), ErrorLog: quiet(n.log)}
	n.operators = &http.Server{Addr: n.settings.Listen.Operators, Handler: n.operatorsHandler(), ErrorLog: quiet(n.log)}
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	ready, reason := n.Ready()
	if n.wasReady.Swap(ready) != ready {
		n.log.Info().Bool("ready", ready).Str("reason", reason).Msg("readiness changed")
	}
	if !ready {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Run serves until the context ends, and then leaves gracefully.
func (n *Node) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", n.callers.Addr)
	if err != nil {
		return fmt.Errorf("entrynode: callers: %w", err)
	}
	var group run.Group
	background, stop := context.WithCancel(context.Background())
	defer stop()
	callers := newCallerListener(listener, n.settings.Host.callerConnections())
	n.add(&group, background, stop, callers)
	group.Add(func() error { return n.serveCallers(ctx, callers) }, func(error) { _ = n.callers.Close() })
	n.log.Info().Str("node", string(n.settings.Node)).Str("callers", n.callers.Addr).Msg("node started")
	err = group.Run()
	n.log.Info().AnErr("cause", err).Msg("node stopped")
	if errors.Is(err, errLeft) {
		return nil
	}
	return err
}

// add adds what runs in the background.
func (n *Node) add(group *run.Group, ctx context.Context, stop func(), callers *callerListener) {
	sweep := func(ctx context.Context) error {
		return pacing.Every(ctx, idleSweep, func() { callers.sweep(n.idleTimeout()) })
	}
	background := []func(context.Context) error{
		n.follower.Run, n.announcer.Run, n.mesh.Run, n.mesh.Listen, n.desk.Run, n.tidy, sweep,
	}
	for _, execute := range background {
		group.Add(func() error { return execute(ctx) }, func(error) {
			stop()
			_ = n.socket.Close() // ends Listen; closed twice, it fails
		})
	}
	servers := []*http.Server{n.ready}
	if n.operators.Addr != "" {
		servers = append(servers, n.operators)
	}
	for _, server := range servers {
		group.Add(server.ListenAndServe, func(error) { _ = server.Close() })
	}
}

// tidyEvery is how often connections to endpoints that are gone are closed.
const tidyEvery = time.Second

func (n *Node) tidy(ctx context.Context) error {
	return pacing.Every(ctx, tidyEvery, func() {
		snapshot := n.directory.Current()
		n.endpoints.PruneIdle(func(id endpointID) bool { return snapshot.Endpoint(id) != nil })
	})
}
