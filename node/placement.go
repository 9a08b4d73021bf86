package node

import (
	"context"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/coordinator"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint"
)

const (
	// stateInterval is how often an owner reads which models its engines have loaded.
	stateInterval = 5 * time.Second
	// stateTTL is how long the state reported by an engine is valid.
	stateTTL = 3 * stateInterval
)

// Orders implements coordinator.Engines. It reports false for engines that don't
// accept orders.
func (e *endpoints) Orders(id domain.EndpointID) (endpoint.Orders, bool) {
	engine, ok := e.Engine(id)
	if !ok {
		return nil, false
	}
	orders, ok := engine.(endpoint.Orders)
	return orders, ok
}

// placement polls the engines of the pools owned by this node for their loaded
// models, so that no request is sent to an engine without its model.
type placement struct {
	capacity  *capacity.Service
	endpoints *endpoints
	readiness *coordinator.Readiness
}

// run polls the engines until ctx is done.
func (p *placement) run(ctx context.Context) error {
	ticker := time.NewTicker(stateInterval)
	defer ticker.Stop()
	for {
		p.readAll(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (p *placement) readAll(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(maxConcurrentReads)
	for _, id := range p.capacity.Owned() {
		group.Go(func() error {
			p.read(ctx, id)
			return nil
		})
	}
	_ = group.Wait()
}

// read polls one engine. The state of one that does not answer expires after
// stateTTL.
func (p *placement) read(ctx context.Context, id domain.EndpointID) {
	orders, ok := p.endpoints.Orders(id)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	state, err := orders.State(ctx)
	if err == nil {
		p.readiness.Record(time.Now(), id, state)
	}
}

// readyChooser excludes engines known not to have loaded the requested model.
type readyChooser struct {
	capacity.Chooser
	readiness *coordinator.Readiness
}

var _ capacity.ReportReceiver = readyChooser{}

// Choose implements capacity.Chooser. The request waits while no candidate is
// ready.
func (c readyChooser) Choose(now time.Time, waiting *capacity.QueuedRequest, candidates []*capacity.EndpointState) (int, bool) {
	model, isModel := strings.CutPrefix(string(waiting.Request.Pool), string(domain.ModelPool("")))
	if !isModel {
		return c.Chooser.Choose(now, waiting, candidates)
	}
	ready := make([]*capacity.EndpointState, 0, len(candidates))
	indexes := make([]int, 0, len(candidates))
	for i, candidate := range candidates {
		if has, known := c.readiness.Ready(now, candidate.ID, model); has || !known {
			ready, indexes = append(ready, candidate), append(indexes, i)
		}
	}
	if len(ready) == 0 {
		return 0, false
	}
	chosen, ok := c.Chooser.Choose(now, waiting, ready)
	return indexes[chosen], ok
}

// Report implements capacity.ReportReceiver.
func (c readyChooser) Report(now time.Time, state *capacity.EndpointState, report endpoint.LoadReport) {
	if r, ok := c.Chooser.(capacity.ReportReceiver); ok {
		r.Report(now, state, report)
	}
}

// CacheEvents implements capacity.ReportReceiver.
func (c readyChooser) CacheEvents(now time.Time, state *capacity.EndpointState, events []endpoint.CacheEvent) {
	if r, ok := c.Chooser.(capacity.ReportReceiver); ok {
		r.CacheEvents(now, state, events)
	}
}
