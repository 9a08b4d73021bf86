// Package places allocates the endpoints' slots to requests at one node, without exchanging a message before a
// dispatch.
//
// A slot is an endpoint's capacity for one concurrent request; a Place is the right to use one. A node knows its own
// requests exactly and those of its peers from their last reports. A request gets a place where a slot is free by that
// count; otherwise it waits in tier order, or is refused at once if it is predicted to start too late. Package routing
// chooses the endpoint, package queue orders the waiting requests.
//
// Guarantees under failure: a peer whose reports stop no longer counts after gossip.MinReportValidity. Two nodes that do not
// receive each other's reports may together exceed an endpoint's slots by at most the number of its slots; the endpoint
// then queues. A node can always use an equal share of the slots, whatever its peers report.
package places

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/directory"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/gossip"
)

// Allocator allocates slots. It is safe for concurrent use.
type Allocator struct {
	options   Options
	directory *directory.Directory
	fleet     func() gossip.Fleet

	mu    sync.Mutex
	pools map[string]*pool
	// snapshot is the directory snapshot that the pools reflect.
	snapshot *directory.Snapshot
	// reportedAt is when the last peer report was received.
	reportedAt time.Time
	// peers holds the last report of each peer.
	peers map[domain.NodeID]*peerReport

	granted, refused, queued *metrics.Counter
}

// New returns an allocator. The fleet function returns the current node counts.
func New(options Options, dir *directory.Directory, fleet func() gossip.Fleet, set *metrics.Set) *Allocator {
	options.Routing = defaultRouting(options.Routing)
	if options.Gate == nil {
		options.Gate = openGate{}
	}
	if options.CacheTokens == nil {
		options.CacheTokens = func(string) int { return 0 }
	}
	allocator := &Allocator{
		options:   options,
		directory: dir,
		fleet:     fleet,
		pools:     make(map[string]*pool),
		peers:     make(map[domain.NodeID]*peerReport),
		granted:   set.NewCounter("hawthornrill_places_granted_total"),
		refused:   set.NewCounter("hawthornrill_places_refused_total"),
		queued:    set.NewCounter("hawthornrill_places_queued_total"),
	}
	set.NewGauge("hawthornrill_places_waiting", func() float64 { return float64(allocator.Waiting()) })
	set.NewGauge("hawthornrill_endpoints_failed", func() float64 { return float64(allocator.failedEndpoints()) })
	return allocator
}

// Acquire waits for a place. It returns a *Refusal if there will be none in time, immediately if the predicted wait
// shows it, or the context's cause.
func (a *Allocator) Acquire(ctx context.Context, request *Request) (*Place, error) {
	place, w, err := a.admit(request)
	if place != nil || err != nil {
		return place, err
	}
	waitTimer := time.NewTimer(time.Until(w.until))
	defer waitTimer.Stop()
	select {
	case place, ok := <-w.granted:
		return a.finishWait(w, place, ok)
	case <-waitTimer.C:
		err = &Refusal{Err: ErrOverloaded, RetryAfter: request.retryAfter(time.Now())}
	case <-ctx.Done():
		err = context.Cause(ctx)
	}
	if a.cancelWait(w) {
		return nil, err
	}
	// The place was granted in the meantime.
	if place, ok := <-w.granted; ok && ctx.Err() == nil {
		return a.finishWait(w, place, ok)
	} else if ok {
		place.Release(capacity.Result{})
	}
	return nil, err
}

func (a *Allocator) finishWait(w *waiter, place *Place, ok bool) (*Place, error) {
	if !ok {
		a.refused.Inc()
		if w.refusal != nil {
			return nil, w.refusal
		}
		return nil, &Refusal{Err: ErrOverloaded, RetryAfter: minRetryAfter}
	}
	place.Waited = time.Since(w.since)
	return place, nil
}

// admit grants a place, refuses the request, or queues it.
func (a *Allocator) admit(request *Request) (*Place, *waiter, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.syncDirectory()
	now := time.Now()
	p := a.pool(request.Service)
	request.capacityRequest = request.toCapacityRequest()
	if !p.hasUsable(request, func(*trackedEndpoint) bool { return true }) {
		a.refused.Inc()
		return nil, nil, p.noEndpoint(request)
	}
	p.demand.forTier(demandTierOf(request)).requested.add(now)
	ahead := p.waiting.AheadOf(request.rank(now, p.firstByteTime(request)), request.Organisation, 1)
	if ahead == 0 || request.continues() {
		if ep := p.choose(now, request, a); ep != nil {
			a.granted.Inc()
			return p.grant(a, now, request, ep), nil, nil
		}
	}
	if refusal := p.refuse(now, request, ahead); refusal != nil {
		a.refused.Inc()
		return nil, nil, refusal
	}
	a.queued.Inc()
	return nil, a.enqueue(p, now, request), nil
}

// refuse decides on arrival whether the request would start too late: after its latency objective or, if that is
// already missed, so late that its caller may have left.
func (p *pool) refuse(now time.Time, request *Request, ahead int) *Refusal {
	if request.continues() {
		return p.restRefusal(now, request, request.maxWait(now))
	}
	wait := p.predictedWait(request, ahead)
	bound := request.FirstByteDue.Sub(now) - p.firstByteTime(request)
	if request.late(now, p.firstByteTime(request)) {
		bound = maxPredictedLateWait
	}
	if refusal := p.restRefusal(now, request, bound); refusal != nil {
		return refusal
	}
	if wait <= bound {
		return nil
	}
	return &Refusal{
		Err: ErrOverloaded, RetryAfter: request.retryAfter(now), Wait: wait, Ahead: ahead,
		Free: p.freeSlots(), Limited: p.limitedEndpoints(),
	}
}

func (a *Allocator) enqueue(p *pool, now time.Time, request *Request) *waiter {
	w := &waiter{request: request, since: now, until: now.Add(request.maxWait(now)), granted: make(chan *Place, 1)}
	w.item = queueItem(w, now, p.firstByteTime(request))
	if evicted := p.waiting.Push(&w.item); evicted != nil {
		close(evicted.Value.granted)
	}
	return w
}

// cancelWait removes the waiter from the queue and reports whether it was still there.
func (a *Allocator) cancelWait(w *waiter) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.pool(w.request.Service).waiting.Remove(&w.item)
}

// Waiting returns the number of queued requests.
func (a *Allocator) Waiting() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, p := range a.pools {
		n += p.waiting.Len()
	}
	return n
}

// failedEndpoints returns the number of endpoints that have failed for this node and not served it since.
func (a *Allocator) failedEndpoints() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, p := range a.pools {
		for _, ep := range p.endpointList {
			if !ep.failedAt.IsZero() {
				n++
			}
		}
	}
	return n
}

func (a *Allocator) pool(service string) *pool {
	p, ok := a.pools[service]
	if !ok {
		p = newPool(service, a.options)
		a.pools[service] = p
	}
	return p
}

// syncDirectory updates the pools from the current directory snapshot.
func (a *Allocator) syncDirectory() {
	snapshot := a.directory.Current()
	if snapshot == a.snapshot {
		return
	}
	a.snapshot = snapshot
	for _, p := range a.pools {
		for id, ep := range p.endpoints {
			if e := snapshot.Endpoint(id); e == nil || e.Service != p.service {
				delete(p.endpoints, id)
				// Requests still outstanding there release their places on this record, which is no longer a candidate.
				ep.state.Leaving = true
			}
		}
	}
	snapshot.Each(func(e *directory.Endpoint) {
		p := a.pool(e.Service)
		ep, ok := p.endpoints[e.Incarnation()]
		if !ok {
			ep = newTrackedEndpoint(e, a.options.Log)
			ep.peerLoad = a.peerLoadAt(e.Incarnation())
			ep.refreshState()
			p.endpoints[e.Incarnation()] = ep
		}
		ep.update(e)
	})
	for _, p := range a.pools {
		p.rebuildList()
		p.refuseWithoutVersion()
	}
}

// Run serves the queues when the directory changes and every queuePollInterval, until the context ends.
func (a *Allocator) Run(ctx context.Context) error {
	ticker := time.NewTicker(queuePollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-a.directory.Changed():
		case <-ticker.C:
		}
		a.serveQueues()
	}
}

// queuePollInterval bounds how long a slot that became free without notice stays unused.
const queuePollInterval = 100 * time.Millisecond

func (a *Allocator) serveQueues() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.syncDirectory()
	a.expirePeers(now)
	a.grantAllWaiting(now)
}
