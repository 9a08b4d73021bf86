package coordinator

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"

	"hawthornrill.example/hawthornrill/pacing"
	"hawthornrill.example/hawthornrill/store/lease"
)

// leasePrefix is the prefix of the lease keys in the store; the group name follows.
const leasePrefix = "coordinator/"

// campaign is the candidacy of this node for the lease of one group.
type campaign struct {
	service *Service
	group   string
	stop    context.CancelFunc
	done    chan struct{}
	// term is nil while the lease is not held.
	term atomic.Pointer[term]
}

func (s *Service) newCampaign(ctx context.Context, name string) *campaign {
	ctx, stop := context.WithCancel(ctx)
	c := &campaign{service: s, group: name, stop: stop, done: make(chan struct{})}
	go c.run(ctx)
	return c
}

// run campaigns for the lease until the context ends. After a term that was
// superseded it backs off before the next campaign; the next lease has a greater
// fencing number.
func (c *campaign) run(ctx context.Context) {
	defer close(c.done)
	for ctx.Err() == nil {
		if c.campaign(ctx) {
			pacing.Sleep(ctx, c.service.options.StepDownBackoff/2+rand.N(c.service.options.StepDownBackoff))
		}
	}
}

// campaign returns when the context ends, or returns true when a term was
// superseded.
func (c *campaign) campaign(ctx context.Context) (superseded bool) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	o := c.service.options
	options := lease.Options{Owner: o.Transport.Self().String(), TTL: o.LeaseTTL, Margin: o.LeaseMargin}
	err := lease.Campaign(ctx, o.Store, leasePrefix+c.group, options, func(leading context.Context, l *lease.Lease) {
		superseded = c.lead(leading, l)
		if superseded {
			stop()
		}
	})
	if err != nil {
		o.Logger.Error().Err(err).Str("group", c.group).Msg("lease campaign failed")
		pacing.Sleep(ctx, o.StepDownBackoff)
	}
	return superseded
}

// lead runs a term under the lease and reports whether it was superseded.
func (c *campaign) lead(ctx context.Context, l *lease.Lease) bool {
	t := c.service.newTerm(c.group, l)
	c.term.Store(t)
	defer c.term.Store(nil)
	c.service.counters.terms.Inc()
	log := c.service.options.Logger.With().Str("group", c.group).Uint64("fence", t.fence).Logger()
	log.Info().Msg("acquired lease; now coordinator of the group")
	err := t.run(ctx)
	log.Info().Err(err).Msg("term ended; no longer coordinator of the group")
	if !errors.Is(err, ErrSuperseded) {
		return false
	}
	c.service.counters.superseded.Inc()
	return true
}
