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

// readsAtOnce bounds the engines that are read at a time.
const readsAtOnce = 16

// term is one holding of one group's lease.
type term struct {
	options Options
	lease   FencedLease
	fence   uint64
	planner *Planner
	meters  *meters
	// rows returns the group's engines by the configuration in force.
	rows   func() []*config.EndpointRow
	demand func(now time.Time) map[ModelLocation]ModelDemand
	begun  time.Time
	// silent tells until when an engine gets no order, because one with an unknown
	// outcome may still arrive.
	silent map[domain.EndpointID]time.Time

	mu   sync.Mutex
	last GroupDump
}

func (s *Service) newTerm(name string, held FencedLease) *term {
	return &term{
		options: s.options,
		lease:   held,
		fence:   uint64(held.Fencing()),
		planner: NewPlanner(s.options.Plan),
		meters:  s.meters,
		rows:    func() []*config.EndpointRow { return s.rowsOf(name) },
		demand:  s.board.current,
		begun:   time.Now(),
		silent:  make(map[domain.EndpointID]time.Time),
	}
}

// run works until the lease or the context ends, or an engine has obeyed a later
// holder. It returns ErrSuperseded or ErrLeaseNotHeld, or the context's error.
func (t *term) run(ctx context.Context) error {
	ticker := time.NewTicker(t.options.Period)
	defer ticker.Stop()
	for {
		if err := t.period(ctx); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// period reads all engines, lets the planner decide, and gives its orders.
func (t *term) period(ctx context.Context) error {
	engines := t.read(ctx, t.rows())
	if err := t.open(ctx, engines); err != nil {
		return err
	}
	now := time.Now()
	steps := t.planner.Plan(now, engines, t.demand(now), t.options.LoadBudget)
	t.note(engines, steps)
	for _, step := range steps {
		if err := t.give(ctx, step); err != nil {
			return err
		}
	}
	return nil
}

// read reads what all engines say that they serve.
func (t *term) read(ctx context.Context, rows []*config.EndpointRow) []Engine {
	engines := make([]Engine, len(rows))
	var group errgroup.Group
	group.SetLimit(readsAtOnce)
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
	e := Engine{ID: row.ID, DataCentre: row.DataCentre, Models: modelsOf(row), Drain: row.Drain}
	state, err := t.state(ctx, row.ID)
	if err != nil {
		return e
	}
	e.Known, e.State = true, state
	return e
}

// state reads one engine back.
func (t *term) state(ctx context.Context, id domain.EndpointID) (endpoint.EngineState, error) {
	orders, ok := t.options.Engines.Orders(id)
	if !ok {
		return endpoint.EngineState{}, errNoOrders
	}
	ctx, cancel := context.WithTimeout(ctx, t.options.OrderTimeout)
	defer cancel()
	state, err := orders.State(ctx)
	if err != nil {
		t.meters.unread.Inc()
	}
	return state, err
}

// errNoOrders means that the endpoint takes no orders.
var errNoOrders = errors.New("coordinator: endpoint takes no orders")

// open finds out which engines may be given orders. An engine that checks fencing
// numbers first obeys one of this holder that changes nothing: from then on it
// refuses whatever a former holder sent. One that ignores them is left alone for
// the settle time.
func (t *term) open(ctx context.Context, engines []Engine) error {
	checks := make(map[domain.EndpointID]bool)
	for _, row := range t.rows() {
		checks[row.ID] = row.ChecksFencing
	}
	for i := range engines {
		e := &engines[i]
		if !e.Known {
			continue
		}
		if e.State.Fence > t.fence {
			return t.overtaken(e.ID, e.State.Fence)
		}
		silent := time.Now().Before(t.silent[e.ID])
		if !checks[e.ID] {
			e.OrdersAllowed = !silent && time.Since(t.begun) >= t.options.settleTime()
			continue
		}
		fenced, err := t.raise(ctx, e)
		if err != nil {
			return err
		}
		e.OrdersAllowed = fenced && !silent
	}
	return nil
}

// raise makes the engine obey this holder's fencing number, by an order to be
// what it is.
func (t *term) raise(ctx context.Context, e *Engine) (bool, error) {
	if e.State.Fence == t.fence {
		return true, nil
	}
	if e.State.Role == "" {
		return true, nil // Nothing to say that changes nothing: the first real order raises it.
	}
	order := endpoint.Order{Kind: endpoint.OrderSetRole, Role: e.State.Role}
	err := t.order(ctx, e.ID, order)
	if errors.Is(err, ErrSuperseded) || errors.Is(err, ErrLeaseNotHeld) {
		return false, err
	}
	return err == nil, nil
}

func (t *term) overtaken(id domain.EndpointID, fence uint64) error {
	return fmt.Errorf("%w: %s has obeyed %d, this holder has %d", ErrSuperseded, id, fence, t.fence)
}
