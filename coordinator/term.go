package coordinator

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint"
)

// maxConcurrentReads bounds the state reads in progress at a time.
const maxConcurrentReads = 16

// term is one uninterrupted holding of the lease of a group.
type term struct {
	options  Options
	lease    FencedLease
	fence    uint64
	planner  *Planner
	counters *counters
	// rows returns the engines of the group in the current configuration.
	rows      func() []*config.EndpointRow
	demand    func(now time.Time) map[ModelLocation]ModelDemand
	startedAt time.Time
	// blockedUntil is the time until which an engine gets no order, because an
	// earlier one with an unknown outcome may still arrive.
	blockedUntil map[domain.EndpointID]time.Time

	mu       sync.Mutex
	lastDump GroupDump
}

func (s *Service) newTerm(name string, lease FencedLease) *term {
	return &term{
		options:      s.options,
		lease:        lease,
		fence:        uint64(lease.Fencing()),
		planner:      NewPlanner(s.options.Plan),
		counters:     s.counters,
		rows:         func() []*config.EndpointRow { return s.engineRows(name) },
		demand:       s.demand.current,
		startedAt:    time.Now(),
		blockedUntil: make(map[domain.EndpointID]time.Time),
	}
}

// run works until the lease or the context ends, or an engine has accepted the
// fencing number of a later holder. It returns ErrSuperseded or ErrLeaseNotHeld, or
// the error of the context.
func (t *term) run(ctx context.Context) error {
	ticker := time.NewTicker(t.options.Period)
	defer ticker.Stop()
	for {
		if err := t.runPeriod(ctx); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// runPeriod reads the state of all engines, plans, and carries out the plan.
func (t *term) runPeriod(ctx context.Context) error {
	engines := t.readEngines(ctx, t.rows())
	if err := t.checkOrdersAllowed(ctx, engines); err != nil {
		return err
	}
	now := time.Now()
	steps := t.planner.Plan(now, engines, t.demand(now), t.options.LoadBudget)
	t.recordDump(engines, steps)
	for _, step := range steps {
		if err := t.execute(ctx, step); err != nil {
			return err
		}
	}
	return nil
}

// readEngines reads the state of all engines concurrently.
func (t *term) readEngines(ctx context.Context, rows []*config.EndpointRow) []Engine {
	engines := make([]Engine, len(rows))
	var group errgroup.Group
	group.SetLimit(maxConcurrentReads)
	for i, row := range rows {
		group.Go(func() error {
			engines[i] = t.readEngine(ctx, row)
			return nil
		})
	}
	_ = group.Wait()
	return engines
}

func (t *term) readEngine(ctx context.Context, row *config.EndpointRow) Engine {
	e := Engine{ID: row.ID, DataCentre: row.DataCentre, Models: modelsOfRow(row), Drain: row.Drain}
	state, err := t.readState(ctx, row.ID)
	if err != nil {
		return e
	}
	e.Known, e.State = true, state
	return e
}

// readState reads the state of one engine.
func (t *term) readState(ctx context.Context, id domain.EndpointID) (endpoint.EngineState, error) {
	orders, ok := t.options.Engines.Orders(id)
	if !ok {
		return endpoint.EngineState{}, errNoOrders
	}
	ctx, cancel := context.WithTimeout(ctx, t.options.OrderTimeout)
	defer cancel()
	state, err := orders.State(ctx)
	if err != nil {
		t.counters.readFailures.Inc()
	}
	return state, err
}

// errNoOrders means that the endpoint has no order interface.
var errNoOrders = errors.New("coordinator: endpoint takes no orders")

// checkOrdersAllowed determines which engines may be sent orders. An engine that
// checks fencing numbers first gets an order of this holder that changes nothing:
// once it has accepted that, it refuses late orders of former holders. An engine
// that ignores fencing numbers gets no order during the settle time.
func (t *term) checkOrdersAllowed(ctx context.Context, engines []Engine) error {
	checksFencing := make(map[domain.EndpointID]bool)
	for _, row := range t.rows() {
		checksFencing[row.ID] = row.ChecksFencing
	}
	for i := range engines {
		e := &engines[i]
		if !e.Known {
			continue
		}
		if e.State.Fence > t.fence {
			return t.supersededError(e.ID, e.State.Fence)
		}
		blocked := time.Now().Before(t.blockedUntil[e.ID])
		if !checksFencing[e.ID] {
			e.OrdersAllowed = !blocked && time.Since(t.startedAt) >= t.options.settleTime()
			continue
		}
		fenced, err := t.raiseFence(ctx, e)
		if err != nil {
			return err
		}
		e.OrdersAllowed = fenced && !blocked
	}
	return nil
}

// raiseFence raises the fencing number of the engine to that of this holder, by an
// order to keep its current role.
func (t *term) raiseFence(ctx context.Context, e *Engine) (bool, error) {
	if e.State.Fence == t.fence {
		return true, nil
	}
	if e.State.Role == "" {
		return true, nil // No order would change nothing; the first load or unload raises the number.
	}
	order := endpoint.Order{Kind: endpoint.OrderSetRole, Role: e.State.Role}
	err := t.sendOrder(ctx, e.ID, order)
	if errors.Is(err, ErrSuperseded) || errors.Is(err, ErrLeaseNotHeld) {
		return false, err
	}
	return err == nil, nil
}

func (t *term) supersededError(id domain.EndpointID, fence uint64) error {
	return fmt.Errorf("%w: %s has accepted fencing number %d, this holder has %d", ErrSuperseded, id, fence, t.fence)
}
