// Package places gives out the endpoints' places at one node, without a message before a dispatch.
//
// The node knows its own requests exactly and the others' from their last reports. A request gets a place where one is
// free by that count; else it waits in tier order, or is refused at once if it would start too late. Which endpoint it
// gets is package routing's choice, the order of waiting package queue's.
//
// Guarantees under failure. A peer that falls silent no longer counts after gossip.MinReportValidity. Two nodes that do not hear
// each other may together exceed an endpoint's places, by at most as many as it has; the endpoint then queues. A node
// always has an equal part of the places, whatever the others report.
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

// Desk gives out places. It is safe for concurrent use.
type Desk struct {
	options   Options
	directory *directory.Directory
	fleet     func() gossip.Fleet

	mu    sync.Mutex
	pools map[string]*pool
	// seen is the directory's snapshot that the pools follow.
	seen *directory.Snapshot
	// reportedAt is when the last report came.
	reportedAt time.Time
	// peers are the nodes' last reports.
	peers map[domain.NodeID]*peerLoads

	granted, refused, queued *metrics.Counter
}

// New returns a desk. Fleet counts the nodes.
func New(options Options, d *directory.Directory, fleet func() gossip.Fleet, set *metrics.Set) *Desk {
	options.Routing = defaultRouting(options.Routing)
	if options.Limits == nil {
		options.Limits = unlimited{}
	}
	if options.CacheTokens == nil {
		options.CacheTokens = func(string) int { return 0 }
	}
	desk := &Desk{
		options:   options,
		directory: d,
		fleet:     fleet,
		pools:     make(map[string]*pool),
		peers:     make(map[domain.NodeID]*peerLoads),
		granted:   set.NewCounter("hawthornrill_places_granted_total"),
		refused:   set.NewCounter("hawthornrill_places_refused_total"),
		queued:    set.NewCounter("hawthornrill_places_queued_total"),
	}
	set.NewGauge("hawthornrill_places_waiting", func() float64 { return float64(desk.Waiting()) })
	return desk
}

// Acquire waits for a place. It returns a *Refusal when there will be none in time, at once if that is foreseen, or
// the context's cause.
func (d *Desk) Acquire(ctx context.Context, ask *Ask) (*Place, error) {
	place, w, err := d.enter(ask)
	if place != nil || err != nil {
		return place, err
	}
	patience := time.NewTimer(ask.patience(w.since))
	defer patience.Stop()
	select {
	case place, ok := <-w.granted:
		return d.received(w, place, ok)
	case <-patience.C:
		err = &Refusal{Err: ErrOverloaded, RetryAfter: ask.retryAfter(time.Now())}
	case <-ctx.Done():
		err = context.Cause(ctx)
	}
	if d.leave(w) {
		return nil, err
	}
	// The place was granted meanwhile.
	if place, ok := <-w.granted; ok && ctx.Err() == nil {
		return d.received(w, place, ok)
	} else if ok {
		place.Release(capacity.Result{})
	}
	return nil, err
}

func (d *Desk) received(w *waiter, place *Place, ok bool) (*Place, error) {
	if !ok {
		d.refused.Inc()
		return nil, &Refusal{Err: ErrOverloaded, RetryAfter: retryLeast}
	}
	place.Waited = time.Since(w.since)
	return place, nil
}

// enter grants a place, refuses, or queues the ask.
func (d *Desk) enter(ask *Ask) (*Place, *waiter, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.follow()
	now := time.Now()
	p := d.pool(ask.Service)
	ask.routed = ask.forRouter()
	if !p.other(ask, func(*account) bool { return true }) {
		d.refused.Inc()
		return nil, nil, &Refusal{Err: ErrNoEndpoint, RetryAfter: retryLeast}
	}
	p.demand.of(tierOf(ask)).asked.add(now)
	ahead := p.waiting.AheadOf(ask.rank(now, p.start(ask)), ask.Organisation, 1)
	if ahead == 0 || ask.Urgent {
		if a := p.choose(now, ask, d); a != nil {
			d.granted.Inc()
			return p.grant(d, now, ask, a), nil, nil
		}
	}
	if refusal := p.refuse(now, ask, ahead); refusal != nil {
		d.refused.Inc()
		return nil, nil, refusal
	}
	d.queued.Inc()
	return nil, d.enqueue(p, now, ask), nil
}

// refuse decides at arrival whether the ask would start too late: after its latency objective, or, if that is missed
// already, so late that its caller may have left.
func (p *pool) refuse(now time.Time, ask *Ask, ahead int) *Refusal {
	if ask.Urgent {
		return nil
	}
	wait := p.predictedWait(ask, ahead)
	bound := ask.FirstByteDue.Sub(now) - p.start(ask)
	if ask.late(now, p.start(ask)) {
		bound = lateWait
	}
	if wait <= bound {
		return nil
	}
	return &Refusal{Err: ErrOverloaded, RetryAfter: ask.retryAfter(now), Wait: wait, Ahead: ahead, Free: p.free(), Limited: p.limited()}
}

func (d *Desk) enqueue(p *pool, now time.Time, ask *Ask) *waiter {
	w := &waiter{ask: ask, since: now, granted: make(chan *Place, 1)}
	w.item = queueItem(w, now, p.start(ask))
	if evicted := p.waiting.Push(&w.item); evicted != nil {
		close(evicted.Value.granted)
	}
	return w
}

// leave takes the waiter out of the queue and reports whether it was there.
func (d *Desk) leave(w *waiter) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pool(w.ask.Service).waiting.Remove(&w.item)
}

// Waiting returns the number of asks that wait.
func (d *Desk) Waiting() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, p := range d.pools {
		n += p.waiting.Len()
	}
	return n
}

func (d *Desk) pool(service string) *pool {
	p, ok := d.pools[service]
	if !ok {
		p = newPool(service, d.options)
		d.pools[service] = p
	}
	return p
}

// follow brings the pools up to the directory.
func (d *Desk) follow() {
	snapshot := d.directory.Current()
	if snapshot == d.seen {
		return
	}
	d.seen = snapshot
	for _, p := range d.pools {
		for id, a := range p.accounts {
			if e := snapshot.Endpoint(id); e == nil || e.Service != p.service {
				delete(p.accounts, id)
				// Requests still there are released on the account, which nobody chooses any more.
				a.state.Leaving = true
			}
		}
	}
	snapshot.Each(func(e *directory.Endpoint) {
		p := d.pool(e.Service)
		a, ok := p.accounts[e.Incarnation()]
		if !ok {
			a = newAccount(e, d.options.Log)
			a.others = d.othersAt(e.Incarnation())
			a.refresh()
			p.accounts[e.Incarnation()] = a
		}
		a.describe(e)
	})
	for _, p := range d.pools {
		p.relist()
	}
}

// Run serves the queues when the directory changes, and now and then, until the context ends.
func (d *Desk) Run(ctx context.Context) error {
	ticker := time.NewTicker(serveEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.directory.Changed():
		case <-ticker.C:
		}
		d.serve()
	}
}

// serveEvery bounds how long a place that became free unnoticed stays unused.
const serveEvery = 100 * time.Millisecond

func (d *Desk) serve() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.follow()
	d.expire(now)
	d.handAll(now)
}
