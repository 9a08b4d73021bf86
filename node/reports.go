package node

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/pacing"
)

const (
	// reportInterval is how often an owner reads the load reports of its endpoints.
	reportInterval = 2 * time.Second
	// reportTimeout bounds reading from one endpoint.
	reportTimeout = time.Second
	// maxConcurrentReads bounds the endpoints that are read at the same time.
	maxConcurrentReads = 8
)

// reportPoller polls the endpoints of the pools owned by this node for load reports
// and cache events and passes them to the capacity service. An endpoint that
// reports itself as leaving gets no new work.
type reportPoller struct {
	capacity  *capacity.Service
	endpoints *endpoints

	mu sync.Mutex
	// lastEvents holds the sequence number of the last cache event by endpoint.
	lastEvents map[domain.EndpointID]uint64
	// leaving holds the endpoints that report themselves as leaving.
	leaving map[domain.EndpointID]struct{}
}

func newReportPoller(c *capacity.Service, e *endpoints) *reportPoller {
	return &reportPoller{
		capacity:   c,
		endpoints:  e,
		lastEvents: make(map[domain.EndpointID]uint64),
		leaving:    make(map[domain.EndpointID]struct{}),
	}
}

// run polls the endpoints until ctx is done.
func (r *reportPoller) run(ctx context.Context) error {
	return pacing.Every(ctx, reportInterval, func() { r.readAll(ctx) })
}

func (r *reportPoller) readAll(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(maxConcurrentReads)
	owned := r.capacity.Owned()
	r.prune(owned)
	for _, id := range owned {
		group.Go(func() error {
			r.read(ctx, id)
			return nil
		})
	}
	_ = group.Wait()
}

// prune drops the state of endpoints that this node does not own any more.
func (r *reportPoller) prune(owned []domain.EndpointID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	gone := func(id domain.EndpointID) bool {
		_, found := slices.BinarySearch(owned, id)
		return !found
	}
	maps.DeleteFunc(r.lastEvents, func(id domain.EndpointID, _ uint64) bool { return gone(id) })
	maps.DeleteFunc(r.leaving, func(id domain.EndpointID, _ struct{}) bool { return gone(id) })
}

// read polls one endpoint. If it does not answer, its state stays unchanged, since
// the owner's own accounting is exact.
func (r *reportPoller) read(ctx context.Context, id domain.EndpointID) {
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

// setLeaving forwards a change of the leaving state reported by the endpoint.
func (r *reportPoller) setLeaving(id domain.EndpointID, leaving bool) {
	r.mu.Lock()
	_, wasLeaving := r.leaving[id]
	if leaving {
		r.leaving[id] = struct{}{}
	} else {
		delete(r.leaving, id)
	}
	r.mu.Unlock()
	if leaving != wasLeaving {
		r.capacity.SetEndpointLeaving(id, leaving)
	}
}

func (r *reportPoller) lastEvent(id domain.EndpointID) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastEvents[id]
}

func (r *reportPoller) setLastEvent(id domain.EndpointID, sequence uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastEvents[id] = sequence
}
