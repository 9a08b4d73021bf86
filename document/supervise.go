package document

import (
	"context"
	"slices"
	"time"

	"hawthornrill.example/hawthornrill/pacing"
	"hawthornrill.example/hawthornrill/store/budget"
)

// supervise starts and stops this node's watch of the store as the membership
// changes, and has the collector run where it is due.
func (r *replica) supervise(ctx context.Context) {
	var stop context.CancelFunc
	done := make(chan struct{})
	close(done)
	collectAt := time.Now().Add(r.nextCollection())
	collector := newCollector(r)
	for pacing.Sleep(ctx, r.service.options.Supervision) {
		if !r.service.bootstrapped.Load() {
			continue
		}
		switch watch := r.watches(); {
		case watch && stop == nil:
			<-done
			stop, done = r.startWatch(ctx)
		case !watch && stop != nil:
			stop()
			stop = nil
		}
		if !time.Now().Before(collectAt) {
			collectAt = time.Now().Add(r.nextCollection())
			r.collectIfFirst(ctx, collector)
		}
	}
	if stop != nil {
		stop()
	}
	<-done
}

// watches reports whether this node has to watch the store.
func (r *replica) watches() bool {
	p := r.service.peers()
	in := r.spec.WatchIn
	if len(in) > 0 && !slices.Contains(in, p.self.DataCentre) {
		return false
	}
	return p.isHead(r.spec.Name, r.service.options.Watchers)
}

// startWatch runs a watcher until it is stopped; done is closed when it has ended.
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

func (r *replica) nextCollection() time.Duration {
	return r.service.options.CollectInterval/2 + jitter(r.service.options.CollectInterval/2)
}

// collectIfFirst collects if this node comes first among all that it sees, so
// that as a rule one node of the fleet does it.
func (r *replica) collectIfFirst(ctx context.Context, c *collector) {
	p := r.service.peers()
	all := slices.Clone(p.local)
	for _, members := range p.remote {
		all = append(all, members...)
	}
	if !p.isSelf(ranked(r.spec.Name, all)[0]) {
		c.forget()
		return
	}
	if err := c.collect(budget.WithPurpose(ctx, budget.PurposeGarbageCollection)); err != nil {
		r.service.options.Logger.Warn().Str("document", r.spec.Name).Err(err).Msg("collection failed")
	}
}
