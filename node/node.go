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
	// joinPatience is how long a new node waits for its place in the ledger table.
	joinPatience = 15 * time.Second
	// expireEvery is the interval at which finished answers that are too old go.
	expireEvery = 10 * time.Second
)

// Node is one node of the system. Its parts are made by New, and work while Run
// runs.
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
	reports    *reports
	// coordinator and placement are nil if the node gives no orders.
	coordinator *coordinator.Service
	placement   *placement
	answers     *answer.Registry
	scheduler   *scheduler.Scheduler
	entry       *entry.Server
	enrolment   *enrolment
	started     time.Time
	draining    atomic.Bool
	// enrolling ends before the node departs, so that it does not join again; then
	// enrolled is closed.
	enrolling context.Context
	stopEnrol context.CancelFunc
	enrolled  chan struct{}
}

// New puts a node together and registers its handlers with the transport.
func New(options Options) (*Node, error) {
	n := &Node{
		options: options,
		self:    options.Transport.Self(),

		started:  time.Now(),
		enrolled: make(chan struct{}),
	}
	n.enrolling, n.stopEnrol = context.WithCancel(context.Background())
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
	n.config, err = agreed.New(documents, agreed.Options{OnApply: n.inForce})
	return err
}

// inForce notes that a configuration came into force.
func (n *Node) inForce(s *config.Snapshot) {
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
	n.reports = newReports(n.capacity, n.endpoints)
	if n.options.EndpointList != nil {
		n.options.EndpointList.bind(n.capacity)
	}
	return nil
}

// capacityOptions fills the parts into the numbers that were given.
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
	o.Demand = coordinator.PoolsDemand{Dump: n.capacity.Dump}
	o.Metrics = n.options.Metrics
	o.Logger = n.options.Log
	service, err := coordinator.New(o)
	n.coordinator = service
	return err
}

// lengths returns the predictor of answers' lengths.
func (n *Node) lengths() scheduler.LengthPredictor {
	if n.options.Lengths != nil {
		return n.options.Lengths
	}
	return routing.NewLengthPredictor()
}

func (n *Node) buildScheduler() error {
	n.answers = answer.NewRegistry(answer.NewCache(answer.CacheOptions{
		Bytes:     n.options.AnswerBytes,
		Retention: n.options.Retention,
	}))
	n.scheduler = scheduler.New(scheduler.Dependencies{
		Ledger:          n.ledger,
		Limiter:         admission{n.limits},
		Capacity:        n.capacity,
		Dispatcher:      dispatch.New(n.endpoints, dispatch.Options{}),
		Answers:         n.answers,
		Relay:           answer.NewRelay(n.options.Transport, n.answers),
		Transport:       n.options.Transport,
		LengthPredictor: n.lengths(),
	}, n.options.Scheduler)
	return nil
}

func (n *Node) buildEntry() error {
	sessions, err := session.NewAuthority(n.options.SessionSecrets, n.options.SessionTTL)
	if err != nil {
		return err
	}
	n.entry = entry.New(entry.Parts{
		Self:      n.self,
		Config:    n.config,
		Sessions:  sessions,
		Scheduler: n.scheduler,
	}, n.options.Entry)
	return nil
}

// Run works until the context ends. A graceful end calls Drain first.
func (n *Node) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return n.options.Members.Run(ctx) })
	group.Go(func() error { return n.documents.Run(ctx) })
	group.Go(func() error { return n.ledger.Run(ctx) })
	group.Go(func() error { return n.limits.Run(ctx) })
	group.Go(func() error { return n.quarantine.Run(ctx) })
	group.Go(func() error { return n.capacity.Run(ctx) })
	group.Go(func() error { return n.reports.run(ctx) })
	group.Go(func() error { return n.housekeep(ctx) })
	if n.coordinator != nil {
		group.Go(func() error { return n.coordinator.Run(ctx) })
		group.Go(func() error { return n.placement.run(ctx) })
	}
	context.AfterFunc(ctx, n.stopEnrol)
	group.Go(func() error {
		defer close(n.enrolled)
		_ = n.enrolment.run(n.enrolling)
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

// housekeep drops old answers.
func (n *Node) housekeep(ctx context.Context) error {
	expire := time.NewTicker(expireEvery)
	defer expire.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-expire.C:
			n.answers.Expire()
			if n.options.EndpointList != nil {
				n.options.EndpointList.expire(time.Now())
			}
		}
	}
}

// Drain ends the node gracefully: it says that it is not ready, its peers are
// told, new requests are served for the notice period and then refused, requests
// in progress finish and are delivered, and its records are handed over. It
// returns when nothing is left, or the context's error; Run goes on until its own
// context ends.
func (n *Node) Drain(ctx context.Context) error {
	n.draining.Store(true)
	if err := n.options.Members.Leave(ctx); err != nil {
		n.options.Log.Warn().Err(err).Msg("peers not told of leaving")
	}
	if !pacing.Sleep(ctx, n.options.NoticePeriod) {
		return ctx.Err()
	}
	if err := n.scheduler.Drain(ctx); err != nil {
		return fmt.Errorf("node: requests still in progress: %w", err)
	}
	n.stopEnrol()
	select {
	case <-n.enrolled:
	case <-ctx.Done():
		return ctx.Err()
	}
	err := n.enrolment.depart(ctx)
	return errors.Join(err, n.options.Members.AnnounceStopped(ctx))
}

// Table returns the operators' table on this node.
func (n *Node) Table() *agreed.Service { return n.config }

// Callers registers the routes towards callers.
func (n *Node) Callers(e *echo.Echo) { n.entry.Register(e) }

// Ready returns nil if the node can take requests, else the reason why not. A node
// that starts while the store is down can't join the ledger table; after some
// time it is ready all the same, for what it can do without.
func (n *Node) Ready() error {
	if n.draining.Load() {
		return ErrDraining
	}
	if err := n.documents.Ready(); err != nil {
		return err
	}
	if time.Since(n.started) < joinPatience && !n.joined() {
		return ErrJoining
	}
	return nil
}

// joined reports whether the node can decide about keys.
func (n *Node) joined() bool { return n.ledger.Ready() }
