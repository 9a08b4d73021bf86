package coordinator

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"

	"hawthornrill.example/hawthornrill/pacing"
	"hawthornrill.example/hawthornrill/store/lease"
)

// leasePrefix begins the keys of the leases; a group's name follows.
const leasePrefix = "coordinator/"

// campaign is this node's candidacy for one group.
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

// run campaigns until the context ends. After a term that was overtaken it stays
// away for a time: the lease that it gets next has a greater fencing number.
func (c *campaign) run(ctx context.Context) {
	defer close(c.done)
	for ctx.Err() == nil {
		if c.campaign(ctx) {
			pacing.Sleep(ctx, c.service.options.StepDownBackoff/2+rand.N(c.service.options.StepDownBackoff))
		}
	}
}

// campaign returns when the context ends, or with true when a term was overtaken.
func (c *campaign) campaign(ctx context.Context) (overtaken bool) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	o := c.service.options
	options := lease.Options{Owner: o.Transport.Self().String(), TTL: o.LeaseTTL, Margin: o.LeaseMargin}
	err := lease.Campaign(ctx, o.Store, leasePrefix+c.group, options, func(leading context.Context, l *lease.Lease) {
		overtaken = c.lead(leading, l)
		if overtaken {
			stop()
		}
	})
	if err != nil {
		o.Logger.Error().Err(err).Str("group", c.group).Msg("no campaign for the lease")
		pacing.Sleep(ctx, o.StepDownBackoff)
	}
	return overtaken
}

// lead works under the lease, and reports whether it was overtaken.
func (c *campaign) lead(ctx context.Context, l *lease.Lease) bool {
	t := c.service.newTerm(c.group, l)
	c.term.Store(t)
	defer c.term.Store(nil)
	c.service.meters.terms.Inc()
	log := c.service.options.Logger.With().Str("group", c.group).Uint64("fence", t.fence).Logger()
	log.Info().Msg("coordinator")
	err := t.run(ctx)
	log.Info().Err(err).Msg("coordinator no more")
	if !errors.Is(err, ErrSuperseded) {
		return false
	}
	c.service.meters.overtaken.Inc()
	return true
}
