package limits

import (
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// beginReport returns an account's demand and marks the account as being reported. It
// returns false if a report is already in progress.
func (s *Service) beginReport(c *account, owner domain.Member, pending *pendingReport) (demand, bool) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending != nil {
		return demand{}, false
	}
	c.pending, c.reportedOwner = pending, owner
	c.sequence++
	d := demand{Organisation: c.organisation, Sequence: c.sequence, AdvanceTokens: int(c.advanceTokens.Swap(0))}
	if now.Sub(c.usedAt) >= s.options.IdleTimeout && c.inFlight.Load() == 0 && !c.active.Load() {
		s.returnUnused(c, &d)
		return d, true
	}
	c.registered = true
	reservedRequests := reserved(int(c.limitInFlight.Load()), s.nodeCount())
	d.Wanted = max(c.demandedRequests()-reservedRequests, 0)
	d.Share = c.shrinkShare(d.Wanted)
	d.InFlight = max(int(c.inFlight.Load())-reservedRequests, 0)
	d.RecentTokens = int(c.tokenRate * time.Minute.Seconds())
	d.Tokens = c.wantedTokens()
	return d, true
}

// shrinkShare gives up the unwanted part of the share and returns the rest. A part
// given up before the report is free for other nodes at once; a part that the owner
// takes away is free only after the node has acknowledged the smaller share. The lock
// is held.
func (c *account) shrinkShare(wanted int) int {
	old := c.share.Load()
	kept := wanted + wanted/2
	if old.requests <= kept {
		return old.requests
	}
	smaller := *old
	smaller.requests = kept
	c.share.Store(&smaller)
	return kept
}

// demandedRequests returns the number of requests that the node could have in flight,
// and starts a new interval. The lock is held.
func (c *account) demandedRequests() int {
	inFlight := c.inFlight.Load()
	peak := max(c.peakInFlight.Swap(inFlight), inFlight)
	refused := c.refused.Swap(0)
	if c.limitInFlight.Load() <= 0 {
		return 0
	}
	return int(peak + max(c.waitingRequests.Load(), refused))
}

// wantedTokens returns the tokens to request: those expected to be used within
// tokenLookahead, and those needed by waiting requests. The lock is held.
func (c *account) wantedTokens() int {
	limit := c.limitTokens.Load()
	if limit <= 0 {
		return 0
	}
	expected := int64(c.tokenRate * tokenLookahead.Seconds())
	return int(min(max(expected+c.waitingTokens.Load()-c.tokens.Load(), 0), limit))
}

// returnUnused returns an unused account's share and tokens, except for the tokens
// that any node may use in advance. The lock is held.
func (s *Service) returnUnused(c *account, d *demand) {
	c.registered = false
	balance := c.tokens.Load()
	s.resetAccount(c, int(c.limitInFlight.Load()), int(c.limitTokens.Load()))
	if balance < 0 {
		d.AdvanceTokens += int(-balance)
		return
	}
	d.ReturnedTokens = int(balance)
}

// applyAllocation applies the owner's reply.
func (s *Service) applyAllocation(c *account, d demand, a allocation) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = nil
	c.reportedAt = now
	c.ownerUnreachable = false
	if !c.registered {
		return
	}
	c.share.Store(&share{
		requests:   a.Share,
		limit:      a.Limit,
		pool:       pool(a.Limit, s.nodeCount()),
		fromOwner:  true,
		receivedAt: now,
		tokenWait:  a.Wait,
	})
	c.tokens.Add(int64(a.Tokens))
	if a.Share < d.Wanted || a.Tokens < d.Tokens { // The owner had no more.
		c.cooldownUntil = now.Add(s.options.Cooldown)
	}
}

// reportFailed keeps the account's share, or uses an equal part if no owner has given
// one. The owner may or may not have received the report: returned tokens count as
// lost, and tokens used in advance are reported again.
func (s *Service) reportFailed(c *account, d demand) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = nil
	c.cooldownUntil = now.Add(s.options.ReportInterval)
	c.advanceTokens.Add(int64(d.AdvanceTokens))
	if c.registered {
		s.markOwnerUnreachable(now, c)
	}
}

// markOwnerUnreachable marks an account whose owner does not answer. The lock is
// held.
func (s *Service) markOwnerUnreachable(now time.Time, c *account) {
	if !c.ownerUnreachable {
		c.ownerUnreachable = true
		c.refilledAt = now
	}
	if !c.share.Load().fromOwner {
		s.useEqualShare(now, c)
	}
}
