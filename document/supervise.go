package document

import (
	"context"
	"slices"
	"time"

	"hawthornrill.example/hawthornrill/pacing"
	"hawthornrill.example/hawthornrill/store/budget"
)

// supervise starts and stops this node's watcher as the membership changes, and runs
// the collector at its interval.
func (r *replica) supervise(ctx context.Context) {
	var stop context.CancelFunc
	done := make(chan struct{})
	close(done)
	collectAt := time.Now().Add(r.collectionDelay())
	collector := newCollector(r)
	for pacing.Sleep(ctx, r.service.options.SupervisionInterval) {
		if !r.service.bootstrapped.Load() {
			continue
		}
		switch watch := r.shouldWatch(); {
		case watch && stop == nil:
			<-done
			stop, done = r.startWatch(ctx)
		case !watch && stop != nil:
			stop()
			stop = nil
		}
		if !time.Now().Before(collectAt) {
			collectAt = time.Now().Add(r.collectionDelay())
			r.collectIfResponsible(ctx, collector)
		}
	}
	if stop != nil {
		stop()
	}
	<-done
}

// shouldWatch reports whether this node has to watch the store.
func (r *replica) shouldWatch() bool {
	p := r.service.peers()
	dataCentres := r.spec.WatchDataCentres
	if len(dataCentres) > 0 && !slices.Contains(dataCentres, p.self.DataCentre) {
		return false
	}
	return p.isRepresentative(r.spec.Name, r.service.options.Watchers)
}

// startWatch starts a watcher that runs until stop is called. done is closed when the
// watcher has ended.
func (r *replica) startWatch(ctx context.Context) (stop context.CancelFunc, done chan struct{}) {
	ctx, stop = context.WithCancel(budget.WithPurpose(ctx, budget.PurposeWatch))
	done = make(chan struct{})
	go func() {
		defer close(done)
		w := &watcher{replica: r}
		w.run(ctx)
	}()
	return stop, done
}

func (r *replica) collectionDelay() time.Duration {
	return r.service.options.CollectInterval/2 + jitter(r.service.options.CollectInterval/2)
}

// collectIfResponsible collects if this node ranks first among all reachable nodes, so
// that normally a single node collects.
func (r *replica) collectIfResponsible(ctx context.Context, c *collector) {
	p := r.service.peers()
	all := slices.Clone(p.local)
	for _, members := range p.remote {
		all = append(all, members...)
	}
	if !p.isSelf(ranked(r.spec.Name, all)[0]) {
		c.reset()
		return
	}
	if err := c.collect(budget.WithPurpose(ctx, budget.PurposeGarbageCollection)); err != nil {
		r.service.options.Logger.Warn().Str("document", r.spec.Name).Err(err).Msg("garbage collection of parts failed")
	}
}
