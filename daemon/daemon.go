package daemon

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"
	"github.com/oklog/run"
	"github.com/rs/zerolog"

	"hawthornrill.example/hawthornrill/buildinfo"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/entry"
	"hawthornrill.example/hawthornrill/node"
	"hawthornrill.example/hawthornrill/operatorapi"
	"hawthornrill.example/hawthornrill/peer/pki"
	"hawthornrill.example/hawthornrill/peer/wslink"
	"hawthornrill.example/hawthornrill/scheduler"
	"hawthornrill.example/hawthornrill/settings"
)

// Daemon is a node process: the node, its listeners and its peer transport.
type Daemon struct {
	options   Options
	listeners *listeners
	transport *wslink.Transport
	node      *node.Node
}

// Run runs a node with validated settings until the context ends, then drains it.
func Run(ctx context.Context, s settings.Settings, log zerolog.Logger) error {
	d, err := New(Options{Settings: s, Log: log})
	if err != nil {
		return err
	}
	return d.Run(ctx)
}

// New opens the listeners and builds the node. The caller must call Run, which
// closes the listeners.
func New(options Options) (*Daemon, error) {
	s := options.Settings
	options.Log = options.Log.With().Str("node", string(s.Node)).Logger()
	listeners, err := listen(s.Listen, options.Peers)
	if err != nil {
		return nil, err
	}
	d := &Daemon{options: options, listeners: listeners}
	if err := d.build(); err != nil {
		listeners.close()
		return nil, err
	}
	return d, nil
}

func (d *Daemon) build() error {
	s := d.options.Settings
	set := metrics.NewSet()
	var err error
	if d.transport, err = d.newTransport(set); err != nil {
		return err
	}
	secrets, err := sessionSecrets(s.Sessions.SecretFiles, d.options.Log)
	if err != nil {
		return err
	}
	list := d.newHostList()
	d.node, err = node.New(node.Options{
		Transport:      d.transport,
		Store:          d.newStore(set),
		Members:        d.newMembership(d.transport, list, set),
		EntryHostList:  list,
		Adapters:       httpAdapters{restingTransport(maxEndpointRest, d.options.Log)},
		Log:            d.options.Log,
		Metrics:        set,
		SessionSecrets: secrets,
		SessionTTL:     s.Sessions.TTL.Duration,
		Retention:      s.Retention.Window.Duration,
		MaxKeys:        s.Retention.MaxKeys,
		AnswerBytes:    s.Retention.AnswerBytes,
		NoticePeriod:   s.Shutdown.NoticePeriod.Duration,
		Entry:          entry.Options{MaxBodyBytes: int64(s.Callers.MaxBodyBytes)},
		Scheduler:      scheduler.Options{DisconnectGrace: s.Callers.DisconnectGrace.Duration},
		Coordinator:    coordinatorOptions(s.Orders),
	})
	return err
}

// newTransport creates the peer transport with a new incarnation of the node. The
// wall clock serves only to number incarnations; peers resolve a conflict in favour
// of the higher number.
func (d *Daemon) newTransport(set *metrics.Set) (*wslink.Transport, error) {
	s := d.options.Settings
	options := wslink.Options{
		Self: domain.Member{
			Node:        s.Node,
			Incarnation: domain.Incarnation(time.Now().UnixNano()),
			DataCentre:  s.DataCentre,
			Address:     d.listeners.peers.Addr().String(),
		},
		MaxFrameBytes: s.Peers.MaxFrameBytes,
		Logger:        d.options.Log,
		Metrics:       set,
	}
	if !s.Peers.Plain {
		files, err := pki.LoadFiles(pki.Paths{
			Authorities: s.Peers.TLS.CA,
			Certificate: s.Peers.TLS.Certificate,
			Key:         s.Peers.TLS.Key,
		}, d.logCertificateReload)
		if err != nil {
			return nil, fmt.Errorf("daemon: peers.tls: %w", err)
		}
		options.Credentials = files
	}
	return wslink.New(options)
}

func (d *Daemon) logCertificateReload(err error) {
	if err != nil {
		d.options.Log.Error().Err(err).Msg("reloading peer certificates failed; keeping the previous ones")
		return
	}
	d.options.Log.Info().Msg("peer certificates reloaded")
}

// Node returns the node, for programs that embed the daemon.
func (d *Daemon) Node() *node.Node { return d.node }

// Addresses returns the addresses that the process listens on.
func (d *Daemon) Addresses() settings.Listen {
	return settings.Listen{
		Callers:   d.listeners.callers.Addr().String(),
		Peers:     d.listeners.peers.Addr().String(),
		Operators: d.listeners.operators.Addr().String(),
	}
}

// Run serves until the context ends, then drains the node: requests in progress are
// completed, unless the settings limit the duration of the drain.
func (d *Daemon) Run(ctx context.Context) error {
	var group run.Group
	// The group ends its members in this order: operators' requests complete before the
	// node stops, callers learn from the stopped node how their requests ended, and peers
	// read the last answers.
	d.addDrain(ctx, &group)
	operatorsTimeout := operatorsShutdownTimeout(d.options.Settings.Shutdown.Limit.Duration)
	d.addServer(&group, newServer(d.listeners.operators, operatorsTimeout, d.options.Log, d.operatorRoutes), settings.TLS{})
	d.addNode(&group)
	d.addServer(&group, newServer(d.listeners.callers, shutdownTimeout, d.options.Log, d.callerRoutes), d.options.Settings.Callers.TLS)
	d.addPeers(&group)
	listen := d.Addresses()
	d.options.Log.Info().Str("version", buildinfo.Version).Str("callers", listen.Callers).
		Str("peers", listen.Peers).Str("operators", listen.Operators).Msg("node started")
	err := group.Run()
	d.options.Log.Info().AnErr("reason", err).Msg("node stopped")
	if errors.Is(err, errDrained) {
		return nil
	}
	return err
}

// errDrained stops the run group after the drain.
var errDrained = errors.New("daemon: drained")

// addDrain adds an actor to the run group that drains the node when the context
// ends.
func (d *Daemon) addDrain(ctx context.Context, group *run.Group) {
	ctx, cancel := context.WithCancel(ctx)
	group.Add(func() error {
		<-ctx.Done()
		d.drain()
		return errDrained
	}, func(error) { cancel() })
}

func (d *Daemon) drain() {
	ctx := context.Background()
	if limit := d.options.Settings.Shutdown.Limit.Duration; limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, limit)
		defer cancel()
	}
	d.options.Log.Info().Msg("draining node")
	if err := d.node.Drain(ctx); err != nil {
		d.options.Log.Error().Err(err).Msg("drain incomplete")
	}
}

func (d *Daemon) addNode(group *run.Group) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error { return d.node.Run(ctx) }, func(error) { cancel() })
}

func (d *Daemon) addServer(group *run.Group, s *server, certificate settings.TLS) {
	group.Add(func() error {
		if certificate != (settings.TLS{}) {
			return s.serveTLS(certificate.Certificate, certificate.Key)
		}
		return s.serve()
	}, func(error) { s.close() })
}

func (d *Daemon) addPeers(group *run.Group) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error { return d.transport.Serve(ctx, d.listeners.peers) }, func(error) {
		closing, stop := context.WithTimeout(context.Background(), shutdownTimeout)
		defer stop()
		_ = d.transport.Close(closing)
		cancel()
	})
}

func (d *Daemon) callerRoutes(e *echo.Echo) {
	d.node.RegisterCallerRoutes(e)
	d.node.RegisterHealthRoutes(e)
}

func (d *Daemon) operatorRoutes(e *echo.Echo) {
	d.node.RegisterHealthRoutes(e)
	d.node.RegisterDebugRoutes(e)
	operatorapi.New(d.node.Config(), operatorKeys(d.options.Settings.Operators)).Mount(e)
}
