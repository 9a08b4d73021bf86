package limits

import (
	"context"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/pacing"
	"hawthornrill.example/hawthornrill/peer"
)

// tokenLookahead is the time for which tokens are requested in advance.
const tokenLookahead = 2 * time.Second

// rateSmoothing is the weight of the last interval in the token rate.
const rateSmoothing = 0.5

// Run reports demand and applies the replies until the context ends, and returns the
// context's error.
func (s *Service) Run(ctx context.Context) error {
	return pacing.Every(ctx, s.options.ReportInterval, func() { s.tick(time.Now()) })
}

// tick updates all accounts and sends the reports that are due, one message for each
// owner.
func (s *Service) tick(now time.Time) {
	nodes := s.refreshNodes()
	var evicted []*account
	due := make(map[domain.Member][]*account)
	for _, c := range s.accounts.current() {
		if s.evictIfIdle(now, c) {
			evicted = append(evicted, c)
			continue
		}
		if owner, ok := nodes.owner(c.organisation); ok && s.reportDue(now, c, owner) {
			due[owner] = append(due[owner], c)
		}
	}
	s.accounts.drop(evicted)
	s.allocators.evictIdle(now)
	for owner, list := range due {
		s.sendReport(owner, list)
	}
}

// evictIfIdle closes an account that has been unused for EvictAfter.
func (s *Service) evictIfIdle(now time.Time, c *account) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active.Swap(false) || c.inFlight.Load() > 0 {
		c.usedAt = now
	}
	return now.Sub(c.usedAt) >= s.options.EvictAfter && c.pending == nil && c.closeIdle()
}

// reportDue refills an account whose owner is unreachable, and reports whether a
// report to its owner is due.
func (s *Service) reportDue(now time.Time, c *account, owner domain.Member) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.updateTokenRate(now, c)
	if c.ownerUnreachable {
		s.refillUnreachable(now, c)
	}
	if c.pending != nil {
		return false
	}
	idle := now.Sub(c.usedAt) >= s.options.IdleTimeout
	switch {
	case idle:
		return c.registered
	case c.ownerUnreachable || s.underPressure(c) || c.registered && !owner.SameIncarnation(c.reportedOwner):
		return true
	default:
		return now.Sub(c.reportedAt) >= s.options.SlowReportInterval && s.needsReport(c)
	}
}

// underPressure reports whether the account's share is used up, much too large, or
// based on an outdated limit. The lock is held.
func (s *Service) underPressure(c *account) bool {
	share := c.share.Load()
	limit := int(c.limitInFlight.Load())
	wanted := max(int(c.peakInFlight.Load())-reserved(limit, s.nodeCount()), 0)
	switch {
	case c.refused.Load() > 0:
		return true
	case limit > 0 && wanted > 0 && (wanted >= share.requests || limit != share.limit):
		return true
	case limit > 0 && share.requests > 2*wanted:
		return true
	}
	return c.limitTokens.Load() > 0 && float64(c.tokens.Load()) < c.tokenRate*tokenLookahead.Seconds()
}

// needsReport reports whether the owner must continue to receive the account's
// reports. The lock is held.
func (s *Service) needsReport(c *account) bool {
	beyond := c.inFlight.Load() > int64(reserved(int(c.limitInFlight.Load()), s.nodeCount()))
	return c.share.Load().requests > 0 || c.limitInFlight.Load() > 0 && beyond || c.advanceTokens.Load() > 0
}

// updateTokenRate updates the token rate. The lock is held.
func (s *Service) updateTokenRate(now time.Time, c *account) {
	elapsed := now.Sub(c.rateUpdatedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	c.rateUpdatedAt = now
	used := max(float64(c.usedTokens.Swap(0)), 0)
	c.tokenRate += rateSmoothing * (used/elapsed - c.tokenRate)
}

// refillUnreachable adds the node's equal part of the tokens to an account whose
// owner is unreachable. The lock is held.
func (s *Service) refillUnreachable(now time.Time, c *account) {
	equal := equalShare(int(c.limitTokens.Load()), s.nodeCount())
	added := int64(float64(equal) * now.Sub(c.refilledAt).Minutes())
	c.refilledAt = now
	if room := int64(equal) - c.tokens.Load(); room > 0 {
		c.tokens.Add(min(added, room))
	}
	if now.Sub(c.share.Load().receivedAt) >= s.options.ShareRetention {
		s.useEqualShare(now, c)
	}
}

// useEqualShare replaces the share by an equal part of the limit while the owner is
// unreachable. The lock is held.
func (s *Service) useEqualShare(now time.Time, c *account) {
	limit, nodes := int(c.limitInFlight.Load()), s.nodeCount()
	part := equalShare(limit, nodes) - reserved(limit, nodes)
	c.share.Store(&share{requests: part, limit: limit, pool: pool(limit, nodes), receivedAt: now})
}

// reportNow reports to the owner at once, or joins the report in progress. It returns
// nil during the cooldown and while the owner is unreachable.
func (s *Service) reportNow(c *account) *pendingReport {
	c.mu.Lock()
	pending, suppressed := c.pending, c.ownerUnreachable || time.Now().Before(c.cooldownUntil)
	c.mu.Unlock()
	if suppressed {
		return nil
	}
	if pending != nil {
		return pending
	}
	owner, ok := s.refreshNodes().owner(c.organisation)
	if !ok || s.ctx.Err() != nil {
		return nil
	}
	s.sendReport(owner, []*account{c})
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending
}

// sendReport sends one message to an owner and applies the reply when it arrives.
func (s *Service) sendReport(owner domain.Member, list []*account) {
	pending := &pendingReport{done: make(chan struct{})}
	var reported []*account
	var r report
	for _, c := range list {
		if d, ok := s.beginReport(c, owner, pending); ok {
			reported = append(reported, c)
			r.Demands = append(r.Demands, d)
		}
	}
	if len(reported) == 0 {
		return
	}
	s.reports.Inc()
	go s.exchange(owner, r, reported, pending)
}

func (s *Service) exchange(owner domain.Member, r report, list []*account, pending *pendingReport) {
	defer close(pending.done)
	ctx, cancel := context.WithTimeout(s.ctx, s.options.CallTimeout)
	defer cancel()
	answer, err := peer.Call[report, reply](ctx, s.options.Transport, owner, methodReport, r)
	failed := err != nil || len(answer.Shares) != len(list)
	if failed {
		s.failures.Inc()
		s.options.Logger.Debug().Err(err).Stringer("owner", owner).Msg("report to limits owner failed")
	}
	for i, c := range list {
		if failed || !answer.Shares[i].validFor(c) {
			s.reportFailed(c, r.Demands[i])
			continue
		}
		s.applyAllocation(c, r.Demands[i], answer.Shares[i])
	}
}

// validFor reports whether an allocation applies: the owner may not know the
// organisation or its limit yet.
func (a *allocation) validFor(c *account) bool {
	return !a.Ignored && (a.Limit > 0 || c.limitInFlight.Load() <= 0)
}
