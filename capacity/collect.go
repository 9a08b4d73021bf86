package capacity

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/membership"
	"hawthornrill.example/hawthornrill/peer"
)

const (
	// collectParallel bounds the nodes asked at once.
	collectParallel = 16
	// collectRounds bounds how often a new owner asks, while another node takes
	// itself for the owner.
	collectRounds = 3
)

// collect asks the nodes of the data centre what they hold of a new owner's
// pools, and lets it grant when all have answered, or Options.Settle has passed.
func (s *Service) collect(c *cell) {
	pools, begun := c.beginCollect()
	if !begun {
		return
	}
	others := s.neighbours()
	if len(others) == 0 {
		s.settle(c)
		return
	}
	s.background(func(ctx context.Context) {
		for range collectRounds {
			if s.collectOnce(ctx, c, others, pools) {
				break
			}
		}
		s.settle(c)
	})
}

// beginCollect returns the pools to ask about, and false if that is being done.
func (c *cell) beginCollect() ([]domain.PoolName, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.collecting {
		return nil, false
	}
	c.collecting = true
	c.owner.lastTick = time.Now()
	return c.owner.poolNames(), true
}

// collectOnce asks every neighbour once. It returns false, at the end of
// Options.Settle, if one of them takes itself for the owner.
func (s *Service) collectOnce(ctx context.Context, c *cell, others []domain.Member, pools []domain.PoolName) bool {
	ctx, cancel := context.WithTimeout(ctx, s.options.Settle)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(collectParallel)
	var mu sync.Mutex
	disputed := false
	for _, member := range others {
		group.Go(func() error {
			elsewhere := s.collectFrom(ctx, c, member, pools)
			mu.Lock()
			defer mu.Unlock()
			disputed = disputed || elsewhere
			return nil
		})
	}
	_ = group.Wait()
	if disputed {
		<-ctx.Done()
	}
	return !disputed
}

// collectFrom asks one neighbour. It reports whether that takes itself for the
// owner.
func (s *Service) collectFrom(ctx context.Context, c *cell, member domain.Member, pools []domain.PoolName) bool {
	request := collectRequest{DataCentre: s.self.DataCentre, Pools: pools}
	reply, err := peer.Call[collectRequest, collectReply](ctx, s.transport, member, methodCollect, request)
	if err != nil {
		return false
	}
	for i := range reply.Accounts {
		s.take(c, member, &reply.Accounts[i])
	}
	return reply.Elsewhere
}

// take puts a neighbour's account into the owner's.
func (s *Service) take(c *cell, from domain.Member, r *registerRequest) {
	out, _, _ := c.do(r.Pool, func(now time.Time, o *owner, p *pool) {
		h := p.holder(from, now)
		for _, ruling := range o.register(now, from, p, r.Records) {
			if ruling.Verdict != verdictQueued {
				o.send(h, p, ruling)
			}
		}
	})
	s.deliver(out)
}

func (s *Service) settle(c *cell) {
	s.deliver(c.settle())
}

func (c *cell) settle() []outgoing {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.collecting = false
	if c.lost {
		return nil
	}
	c.owner.settle(time.Now())
	return c.owner.takeOut()
}

// neighbours returns the other nodes of the data centre that answer.
func (s *Service) neighbours() []domain.Member {
	var others []domain.Member
	members := s.options.Membership.Current()
	for i := range members.Peers {
		p := &members.Peers[i]
		answers := p.Status == membership.StatusAlive || p.Status == membership.StatusLeaving
		if answers && p.DataCentre == s.self.DataCentre && p.Node != s.self.Node {
			others = append(others, p.Member)
		}
	}
	return others
}

// serveCollect tells a new owner what this node holds.
func (s *Service) serveCollect(r *collectRequest) collectReply {
	var reply collectReply
	view := s.current()
	now := time.Now()
	for _, name := range r.Pools {
		if s.cell(view, name) != nil {
			reply.Elsewhere = true
		}
		l := s.links.find(linkKey{r.DataCentre, name})
		if l == nil {
			continue
		}
		if records := l.records(nil, now); len(records) > 0 {
			reply.Accounts = append(reply.Accounts, registerRequest{Pool: name, Records: records})
		}
	}
	return reply
}

// poolNames returns the group's pools.
func (o *owner) poolNames() []domain.PoolName {
	names := make([]domain.PoolName, 0, len(o.pools))
	for name := range o.pools {
		names = append(names, name)
	}
	return names
}
