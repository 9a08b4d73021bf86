package limits

import (
	"context"

	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/pacing"
	"hawthornrill.example/hawthornrill/peer"
)

// rateSpan is how far ahead tokens are asked for.
const rateSpan = 2 * time.Second

// rateWeight is the weight of the last interval in the rate of tokens used.
const rateWeight = 0.5

// Run reports demand and applies the answers until the context ends, and then
// returns its error.
func (s *Service) Run(ctx context.Context) error {
	return pacing.Every(ctx, s.options.ReportEvery, func() { s.tick(time.Now()) })
}

// tick looks after all accounts and sends the reports that are due, one message for
// each owner.
func (s *Service) tick(now time.Time) {
	f := s.lookAround()
	var forgotten []*account
	due := make(map[domain.Member][]*account)
	for _, c := range s.accounts.current() {
		if s.forget(now, c) {
			forgotten = append(forgotten, c)
			continue
		}
		if owner, ok := f.owner(c.organisation); ok && s.due(now, c, owner) {
			due[owner] = append(due[owner], c)
		}
	}
	s.accounts.drop(forgotten)
	s.books.sweep(now)
	for owner, list := range due {
		s.report(owner, list)
	}
}

// forget closes an account that has long been unused.
func (s *Service) forget(now time.Time, c *account) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.touched.Swap(false) || c.inFlight.Load() > 0 {
		c.usedAt = now
	}
	return now.Sub(c.usedAt) >= s.options.ForgetAfter && c.call == nil && c.closeIdle()
}

// due keeps an account without an owner going, and reports whether its owner should
// hear of it now.
func (s *Service) due(now time.Time, c *account, owner domain.Member) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.rate(now, c)
	if c.cutOff {
		s.fill(now, c)
	}
	if c.call != nil {
		return false
	}
	idle := now.Sub(c.usedAt) >= s.options.IdleAfter
	switch {
	case idle:
		return c.held
	case c.cutOff || s.presses(c) || c.held && !owner.SameIncarnation(c.owner):
		return true
	default:
		return now.Sub(c.reportedAt) >= s.options.QuietEvery && s.holds(c)
	}
}

// presses reports whether the account's share is used up, far too large, or of
// another limit than that in force. The lock is held.
func (s *Service) presses(c *account) bool {
	share := c.share.Load()
	limit := int(c.limitInFlight.Load())
	wanted := max(int(c.peak.Load())-ready(limit, s.nodes()), 0)
	switch {
	case c.refused.Load() > 0:
		return true
	case limit > 0 && wanted > 0 && (wanted >= share.requests || limit != share.limit):
		return true
	case limit > 0 && share.requests > 2*wanted:
		return true
	}
	return c.limitTokens.Load() > 0 && float64(c.tokens.Load()) < c.rate*rateSpan.Seconds()
}

// holds reports whether the owner must go on hearing of the account. The lock is held.
func (s *Service) holds(c *account) bool {
	beyond := c.inFlight.Load() > int64(ready(int(c.limitInFlight.Load()), s.nodes()))
	return c.share.Load().requests > 0 || c.limitInFlight.Load() > 0 && beyond || c.advance.Load() > 0
}

// rate works out the tokens used a second. The lock is held.
func (s *Service) rate(now time.Time, c *account) {
	elapsed := now.Sub(c.ratedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	c.ratedAt = now
	used := max(float64(c.used.Swap(0)), 0)
	c.rate += rateWeight * (used/elapsed - c.rate)
}

// fill adds the equal part of the tokens of an account whose owner can't be reached.
// The lock is held.
func (s *Service) fill(now time.Time, c *account) {
	part := equalPart(int(c.limitTokens.Load()), s.nodes())
	added := int64(float64(part) * now.Sub(c.filledAt).Minutes())
	c.filledAt = now
	if room := int64(part) - c.tokens.Load(); room > 0 {
		c.tokens.Add(min(added, room))
	}
	if now.Sub(c.share.Load().at) >= s.options.Keep {
		s.takeEqualPart(now, c)
	}
}

// takeEqualPart is what a node does whose owner has long been out of reach. The lock
// is held.
func (s *Service) takeEqualPart(now time.Time, c *account) {
	limit, nodes := int(c.limitInFlight.Load()), s.nodes()
	part := equalPart(limit, nodes) - ready(limit, nodes)
	c.share.Store(&share{requests: part, limit: limit, pool: pool(limit, nodes), at: now})
}

// ask asks the owner at once, or joins the report under way. It returns nil if the
// owner has just said that there is no more, or does not answer.
func (s *Service) ask(c *account) *call {
	c.mu.Lock()
	under, calm := c.call, c.cutOff || time.Now().Before(c.calmUntil)
	c.mu.Unlock()
	if calm {
		return nil
	}
	if under != nil {
		return under
	}
	owner, ok := s.lookAround().owner(c.organisation)
	if !ok || s.ctx.Err() != nil {
		return nil
	}
	s.report(owner, []*account{c})
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.call
}

// report sends one message to an owner and applies the answer when it comes.
func (s *Service) report(owner domain.Member, list []*account) {
	under := &call{done: make(chan struct{})}
	var reported []*account
	var r report
	for _, c := range list {
		if d, ok := s.begin(c, owner, under); ok {
			reported = append(reported, c)
			r.Demands = append(r.Demands, d)
		}
	}
	if len(reported) == 0 {
		return
	}
	s.reports.Inc()
	go s.exchange(owner, r, reported, under)
}

func (s *Service) exchange(owner domain.Member, r report, list []*account, under *call) {
	defer close(under.done)
	ctx, cancel := context.WithTimeout(s.ctx, s.options.CallTimeout)
	defer cancel()
	answer, err := peer.Call[report, reply](ctx, s.options.Transport, owner, methodReport, r)
	failed := err != nil || len(answer.Shares) != len(list)
	if failed {
		s.failures.Inc()
		s.options.Logger.Debug().Err(err).Stringer("owner", owner).Msg("limits not reported")
	}
	for i, c := range list {
		if failed || !answer.Shares[i].fits(c) {
			s.fail(c, r.Demands[i])
			continue
		}
		s.apply(c, r.Demands[i], answer.Shares[i])
	}
}

// fits reports whether an allotment is one: the owner may not know of the
// organisation or of its limit yet.
func (a *allotment) fits(c *account) bool {
	return !a.Ignored && (a.Limit > 0 || c.limitInFlight.Load() <= 0)
}
