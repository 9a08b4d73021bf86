package limits

import (
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// begin makes an account's demand and marks the account as being reported; false
// if it already is.
func (s *Service) begin(c *account, owner domain.Member, under *call) (demand, bool) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.call != nil {
		return demand{}, false
	}
	c.call, c.owner = under, owner
	c.sequence++
	d := demand{Organisation: c.organisation, Sequence: c.sequence, Advance: int(c.advance.Swap(0))}
	if now.Sub(c.usedAt) >= s.options.IdleTimeout && c.inFlight.Load() == 0 && !c.touched.Load() {
		s.giveBack(c, &d)
		return d, true
	}
	c.held = true
	spared := ready(int(c.limitInFlight.Load()), s.nodes())
	d.Wanted = max(c.demanded()-spared, 0)
	d.Share = c.shrink(d.Wanted)
	d.InFlight = max(int(c.inFlight.Load())-spared, 0)
	d.Recent = int(c.rate * time.Minute.Seconds())
	d.Tokens = c.tokensWanted()
	return d, true
}

// shrink gives up what is not wanted of the share, and returns the rest. What a node
// gives up before it reports is free for others at once; what an owner takes away
// is not until the node has said that it knows. The lock is held.
func (c *account) shrink(wanted int) int {
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

// demanded returns the requests that the node could have in flight, and begins a new
// interval. The lock is held.
func (c *account) demanded() int {
	inFlight := c.inFlight.Load()
	peak := max(c.peak.Swap(inFlight), inFlight)
	refused := c.refused.Swap(0)
	if c.limitInFlight.Load() <= 0 {
		return 0
	}
	return int(peak + max(c.waiting.Load(), refused))
}

// tokensWanted returns the tokens to ask for: those to be used soon, and those that
// requests wait for. The lock is held.
func (c *account) tokensWanted() int {
	limit := c.limitTokens.Load()
	if limit <= 0 {
		return 0
	}
	soon := int64(c.rate * rateSpan.Seconds())
	return int(min(max(soon+c.waitingTokens.Load()-c.tokens.Load(), 0), limit))
}

// giveBack gives up all that an unused account holds, but for what any node may use
// in advance. The lock is held.
func (s *Service) giveBack(c *account, d *demand) {
	c.held = false
	left := c.tokens.Load()
	s.startAnew(c, int(c.limitInFlight.Load()), int(c.limitTokens.Load()))
	if left < 0 {
		d.Advance += int(-left)
		return
	}
	d.Returned = int(left)
}

// apply takes the owner's answer.
func (s *Service) apply(c *account, d demand, a allotment) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.call = nil
	c.reportedAt = now
	c.cutOff = false
	if !c.held {
		return
	}
	c.share.Store(&share{
		requests: a.Share,
		limit:    a.Limit,
		pool:     pool(a.Limit, s.nodes()),
		owned:    true,
		at:       now,
		wait:     a.Wait,
	})
	c.tokens.Add(int64(a.Tokens))
	if a.Share < d.Wanted || a.Tokens < d.Tokens { // The owner had no more.
		c.calmUntil = now.Add(s.options.Cooldown)
	}
}

// fail keeps what the account has; one that has no share of an owner takes an equal
// part. Whether the owner has heard is not known: what was given back counts as lost,
// and what was used in advance is told again.
func (s *Service) fail(c *account, d demand) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.call = nil
	c.calmUntil = now.Add(s.options.ReportInterval)
	c.advance.Add(int64(d.Advance))
	if c.held {
		s.cut(now, c)
	}
}

// cut marks an account whose owner does not answer. The lock is held.
func (s *Service) cut(now time.Time, c *account) {
	if !c.cutOff {
		c.cutOff = true
		c.filledAt = now
	}
	if !c.share.Load().owned {
		s.takeEqualPart(now, c)
	}
}
