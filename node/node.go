package node

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"golang.org/x/sync/errgroup"

	"hawthornrill.example/hawthornrill/answer"
	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/config/agreed"
	"hawthornrill.example/hawthornrill/coordinator"
	"hawthornrill.example/hawthornrill/dispatch"
	"hawthornrill.example/hawthornrill/document"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/entry"
	"hawthornrill.example/hawthornrill/ledger"
	"hawthornrill.example/hawthornrill/limits"
	"hawthornrill.example/hawthornrill/pacing"
	"hawthornrill.example/hawthornrill/routing"
	"hawthornrill.example/hawthornrill/routing/quarantine"
	"hawthornrill.example/hawthornrill/scheduler"
	"hawthornrill.example/hawthornrill/session"
)

const (
	// joinTimeout is how long a new node may report not ready while it joins the
	// ledger table.
	joinTimeout = 15 * time.Second
	// expireInterval is how often finished answers past their retention are dropped.
	expireInterval = 10 * time.Second
)

// Node is one node of the system. New creates its services, and Run runs them.
type Node struct {
	options    Options
	self       domain.Member
	documents  *document.Service
	config     *agreed.Service
	tables     *tables
	ledger     *ledger.Replica
	limits     *limits.Service
	quarantine *quarantine.Service
	capacity   *capacity.Service
	routers    *routing.Factory
	endpoints  *endpoints
	reports    *reportPoller
	// coordinator and placement are nil if the node is no coordinator candidate.
	coordinator *coordinator.Service
	placement   *placement
	answers     *answer.Registry
	scheduler   *scheduler.Scheduler
	entry       *entry.Server
	enrolment   *enrolment
	started     time.Time
	draining    atomic.Bool
	// enrolCtx is cancelled before the node departs, so that it does not join again.
	// enrolmentDone is closed when the enrolment loop has ended.
	enrolCtx      context.Context
	stopEnrol     context.CancelFunc
	enrolmentDone chan struct{}
}

// New creates a node and registers its handlers with the transport.
func New(options Options) (*Node, error) {
	n := &Node{
		options: options,
		self:    options.Transport.Self(),

		started:       time.Now(),
		enrolmentDone: make(chan struct{}),
	}
	n.enrolCtx, n.stopEnrol = context.WithCancel(context.Background())
	for _, build := range []func() error{n.buildDocuments, n.buildLedger, n.buildLimits, n.buildCapacity, n.buildCoordinator, n.buildScheduler, n.buildEntry} {
		if err := build(); err != nil {
			return nil, fmt.Errorf("node: %w", err)
		}
	}
	return n, nil
}

func (n *Node) buildDocuments() error {
	documents, err := document.New(document.Options{
		Transport: n.options.Transport,
		Members:   n.options.Members,
		Store:     n.options.Store,
		Logger:    n.options.Log,
		Metrics:   n.options.Metrics,
	})
	if err != nil {
		return err
	}
	n.documents = documents
	n.config, err = agreed.New(documents, agreed.Options{OnApply: n.logInForce})
	return err
}

// logInForce logs that a configuration has been applied.
func (n *Node) logInForce(s *config.Snapshot) {
	n.options.Log.Info().Uint64("revision", uint64(s.Revision)).Msg("configuration in force")
}

func (n *Node) buildLedger() error {
	options := ledger.Options{
		Transport:  n.options.Transport,
		Membership: n.options.Members,
		Metrics:    n.options.Metrics,
		Logger:     n.options.Log,
		Retention:  n.options.Retention,
		MaxRecords: n.options.MaxKeys,
	}
	tables, err := newTables(n.documents, n.self, options.LossWindow())
	if err != nil {
		return err
	}
	n.tables = tables
	options.Tables = n.tables
	options.Editor = n.tables
	replica, err := ledger.New(options)
	if err != nil {
		return err
	}
	n.ledger = replica
	n.enrolment = &enrolment{self: n.self, tables: n.tables, members: n.options.Members, log: n.options.Log}
	return nil
}

func (n *Node) buildLimits() error {
	n.limits = limits.New(limits.Options{
		Transport:  n.options.Transport,
		Membership: n.options.Members,
		Config:     n.config,
		Metrics:    n.options.Metrics,
		Logger:     n.options.Log,
	})
	return nil
}

func (n *Node) buildCapacity() error {
	n.quarantine = quarantine.New(quarantine.Options{
		Transport:  n.options.Transport,
		Membership: n.options.Members,
		Metrics:    n.options.Metrics,
	})
	options := n.options.Routing
	options.Quarantine = n.quarantine
	options.Metrics = n.options.Metrics
	n.routers = routing.NewFactory(options)
	if n.options.Coordinator != nil {
		n.placement = &placement{readiness: coordinator.NewReadiness(stateTTL)}
	}
	n.capacity = capacity.New(n.capacityOptions())
	n.endpoints = newEndpoints(n.config, n.options.Adapters)
	n.reports = newReportPoller(n.capacity, n.endpoints)
	if n.options.EntryHostList != nil {
		n.options.EntryHostList.bind(n.capacity)
	}
	return nil
}

// capacityOptions returns the configured options with the node's services filled in.
func (n *Node) capacityOptions() capacity.Options {
	o := n.options.Capacity
	o.Transport = n.options.Transport
	o.Membership = n.options.Members
	o.Config = n.config
	o.Metrics = n.options.Metrics
	o.Logger = n.options.Log
	if o.NewChooser == nil {
		o.NewChooser = n.routers.New
	}
	if n.placement != nil {
		inner := o.NewChooser
		o.NewChooser = func() capacity.Chooser { return readyChooser{inner(), n.placement.readiness} }
	}
	return o
}

func (n *Node) buildCoordinator() error {
	if n.options.Coordinator == nil {
		return nil
	}
	n.placement.capacity, n.placement.endpoints = n.capacity, n.endpoints
	o := *n.options.Coordinator
	o.Transport = n.options.Transport
	o.Members = n.options.Members
	o.Config = n.config
	o.Store = n.options.Store
	o.Engines = n.endpoints
	o.Demand = coordinator.PoolDemand{Dump: n.capacity.Dump}
	o.Metrics = n.options.Metrics
	o.Logger = n.options.Log
	service, err := coordinator.New(o)
	n.coordinator = service
	return err
}

// lengthPredictor returns the configured predictor or the default one.
func (n *Node) lengthPredictor() scheduler.LengthPredictor {
	if n.options.LengthPredictor != nil {
		return n.options.LengthPredictor
	}
	return routing.NewLengthPredictor()
}

func (n *Node) buildScheduler() error {
	n.answers = answer.NewRegistry(answer.NewCache(answer.CacheOptions{
		MaxBytes:  n.options.AnswerBytes,
		Retention: n.options.Retention,
	}))
	n.scheduler = scheduler.New(scheduler.Dependencies{
		Ledger:          n.ledger,
		Limiter:         admission{n.limits},
		Capacity:        n.capacity,
		Dispatcher:      dispatch.New(n.endpoints, dispatch.Options{Log: n.options.Log}),
		Answers:         n.answers,
		Relay:           answer.NewRelay(n.options.Transport, n.answers),
		Transport:       n.options.Transport,
		LengthPredictor: n.lengthPredictor(),
	}, n.options.Scheduler)
	return nil
}

func (n *Node) buildEntry() error {
	sessions, err := session.NewAuthority(n.options.SessionSecrets, n.options.SessionTTL)
	if err != nil {
		return err
	}
	n.entry = entry.New(entry.Dependencies{
		Self:      n.self,
		Config:    n.config,
		Sessions:  sessions,
		Scheduler: n.scheduler,
	}, n.options.Entry)
	return nil
}

// Run runs the node until ctx is done. Call Drain first for a graceful shutdown.
func (n *Node) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return n.options.Members.Run(ctx) })
	group.Go(func() error { return n.documents.Run(ctx) })
	group.Go(func() error { return n.ledger.Run(ctx) })
	group.Go(func() error { return n.limits.Run(ctx) })
	group.Go(func() error { return n.quarantine.Run(ctx) })
	group.Go(func() error { return n.capacity.Run(ctx) })
	group.Go(func() error { return n.reports.run(ctx) })
	group.Go(func() error { return n.expireLoop(ctx) })
	if n.coordinator != nil {
		group.Go(func() error { return n.coordinator.Run(ctx) })
		group.Go(func() error { return n.placement.run(ctx) })
	}
	context.AfterFunc(ctx, n.stopEnrol)
	group.Go(func() error {
		defer close(n.enrolmentDone)
		_ = n.enrolment.run(n.enrolCtx)
		return nil
	})
	err := group.Wait()
	n.scheduler.Close()
	n.limits.Close()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// expireLoop drops expired answers and reports of leaving endpoints.
func (n *Node) expireLoop(ctx context.Context) error {
	expire := time.NewTicker(expireInterval)
	defer expire.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-expire.C:
			n.answers.Expire()
			if n.options.EntryHostList != nil {
				n.options.EntryHostList.expire(time.Now())
			}
		}
	}
}

// Drain shuts the node down gracefully. It reports the node as not ready and
// announces to the peers that it is leaving. New requests are accepted for the
// notice period and then refused; requests in progress are completed and
// delivered. Finally the ledger records are handed over. Drain returns when all
// of this is done, or with the context's error. Run continues until its own
// context is done.
func (n *Node) Drain(ctx context.Context) error {
	n.draining.Store(true)
	if err := n.options.Members.Leave(ctx); err != nil {
		n.options.Log.Warn().Err(err).Msg("leaving not announced to peers")
	}
	if !pacing.Sleep(ctx, n.options.NoticePeriod) {
		return ctx.Err()
	}
	if err := n.scheduler.Drain(ctx); err != nil {
		return fmt.Errorf("node: requests still in progress: %w", err)
	}
	n.stopEnrol()
	select {
	case <-n.enrolmentDone:
	case <-ctx.Done():
		return ctx.Err()
	}
	err := n.enrolment.depart(ctx)
	return errors.Join(err, n.options.Members.AnnounceStopped(ctx))
}

// Config returns the configuration service of this node.
func (n *Node) Config() *agreed.Service { return n.config }

// RegisterCallerRoutes registers the routes of the API for callers.
func (n *Node) RegisterCallerRoutes(e *echo.Echo) { n.entry.Register(e) }

// Ready returns nil if the node can accept requests, else the reason why not. A
// node that starts while the store is down can't join the ledger table. After
// joinTimeout it reports ready regardless, to serve what does not need the ledger.
func (n *Node) Ready() error {
	if n.draining.Load() {
		return ErrDraining
	}
	if err := n.documents.Ready(); err != nil {
		return err
	}
	if time.Since(n.started) < joinTimeout && !n.joined() {
		return ErrJoining
	}
	return nil
}

// joined reports whether the ledger can decide about request keys.
func (n *Node) joined() bool { return n.ledger.Ready() }
