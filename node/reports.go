package node

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/pacing"
)

const (
	// reportEvery is the interval at which an owner reads its endpoints' reports.
	reportEvery = 2 * time.Second
	// reportTimeout bounds the reading of one endpoint's report.
	reportTimeout = time.Second
	// reportsAtOnce bounds the reports that are read at a time.
	reportsAtOnce = 8
)

// reports reads what the endpoints of the pools owned by this node say of
// themselves and hands it on. An endpoint that says it is leaving is taken out
// of service for new work.
type reports struct {
	capacity  *capacity.Service
	endpoints *endpoints

	mu sync.Mutex
	// events is the last cache event seen, by endpoint.
	events map[domain.EndpointID]uint64
	// left are the endpoints that said they were leaving.
	left map[domain.EndpointID]struct{}
}

func newReports(c *capacity.Service, e *endpoints) *reports {
	return &reports{
		capacity:  c,
		endpoints: e,
		events:    make(map[domain.EndpointID]uint64),
		left:      make(map[domain.EndpointID]struct{}),
	}
}

// run reads reports until the context ends.
func (r *reports) run(ctx context.Context) error {
	return pacing.Every(ctx, reportEvery, func() { r.readAll(ctx) })
}

func (r *reports) readAll(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(reportsAtOnce)
	for _, id := range r.capacity.Owned() {
		group.Go(func() error {
			r.read(ctx, id)
			return nil
		})
	}
	_ = group.Wait()
}

// read reads one endpoint's report; one that does not answer is left as it is,
// since the owner's own account is exact.
func (r *reports) read(ctx context.Context, id domain.EndpointID) {
	engine, ok := r.endpoints.Engine(id)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := engine.Load(ctx)
	if err != nil {
		return
	}
	r.capacity.Report(id, report)
	r.setLeaving(id, report.Leaving)
	events, err := engine.CacheEvents(ctx, r.lastEvent(id))
	if err != nil || len(events) == 0 {
		return
	}
	r.capacity.CacheEvents(id, events)
	r.setLastEvent(id, events[len(events)-1].Sequence)
}

// setLeaving passes a change of the endpoint's own word on.
func (r *reports) setLeaving(id domain.EndpointID, leaving bool) {
	r.mu.Lock()
	_, before := r.left[id]
	if leaving {
		r.left[id] = struct{}{}
	} else {
		delete(r.left, id)
	}
	r.mu.Unlock()
	if leaving != before {
		r.capacity.SetEndpointLeaving(id, leaving)
	}
}

func (r *reports) lastEvent(id domain.EndpointID) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.events[id]
}

func (r *reports) setLastEvent(id domain.EndpointID, sequence uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events[id] = sequence
}
