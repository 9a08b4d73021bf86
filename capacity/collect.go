package capacity

import (
	"context"
	"slices"
	"sync/atomic"
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
	// suspectPatience is how long the answers of nodes thought out of reach are
	// waited for when all others are there.
	suspectPatience = 50 * time.Millisecond
)

// collect asks the nodes of the data centre, this one among them, what they hold of
// a new owner's pools, and lets it grant when all have answered, or Options.Settle has passed.
func (s *Service) collect(c *cell) {
	pools, begun := c.beginCollect()
	if !begun {
		return
	}
	s.takeAll(c, s.self, s.serveCollect(&collectRequest{DataCentre: s.self.DataCentre, Pools: pools}))
	others := s.neighbours(membership.StatusAlive, membership.StatusLeaving)
	suspects := s.neighbours(membership.StatusUnreachable)
	if len(others)+len(suspects) == 0 {
		s.settle(c)
		return
	}
	s.background(func(ctx context.Context) {
		for range collectRounds {
			if s.collectOnce(ctx, c, others, suspects, pools) {
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

// collectOnce asks every neighbour once. Those thought out of reach are not waited
// for as long. It returns false, at the end of Options.Settle, if one of them takes
// itself for the owner.
func (s *Service) collectOnce(ctx context.Context, c *cell, others, suspects []domain.Member, pools []domain.PoolName) bool {
	ctx, cancel := context.WithTimeout(ctx, s.options.SettleTimeout)
	defer cancel()
	var disputed atomic.Bool
	asked := s.collectFromAll(ctx, c, others, pools, &disputed)
	suspected := s.collectFromAll(ctx, c, suspects, pools, &disputed)
	<-asked
	select {
	case <-suspected:
	case <-time.After(suspectPatience):
	}
	if disputed.Load() {
		<-ctx.Done()
	}
	return !disputed.Load()
}

// collectFromAll asks the members at once. The channel is closed when all have
// answered or their time is up.
func (s *Service) collectFromAll(ctx context.Context, c *cell, members []domain.Member, pools []domain.PoolName, disputed *atomic.Bool) <-chan struct{} {
	done := make(chan struct{})
	s.tasks.Go(func() {
		defer close(done)
		var group errgroup.Group
		group.SetLimit(collectParallel)
		for _, member := range members {
			group.Go(func() error {
				if s.collectFrom(ctx, c, member, pools) {
					disputed.Store(true)
				}
				return nil
			})
		}
		_ = group.Wait()
	})
	return done
}

// collectFrom asks one neighbour. It reports whether that takes itself for the
// owner.
func (s *Service) collectFrom(ctx context.Context, c *cell, member domain.Member, pools []domain.PoolName) bool {
	request := collectRequest{DataCentre: s.self.DataCentre, Pools: pools}
	reply, err := peer.Call[collectRequest, collectReply](ctx, s.transport, member, methodCollect, request)
	if err != nil {
		return false
	}
	s.takeAll(c, member, reply)
	return reply.Elsewhere
}

// takeAll puts a node's accounts into the owner's.
func (s *Service) takeAll(c *cell, from domain.Member, reply collectReply) {
	for i := range reply.Accounts {
		s.take(c, from, &reply.Accounts[i])
	}
}

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

// neighbours returns the other nodes of the data centre that have one of the
// statuses.
func (s *Service) neighbours(statuses ...membership.Status) []domain.Member {
	var others []domain.Member
	members := s.options.Membership.Current()
	for i := range members.Peers {
		p := &members.Peers[i]
		if slices.Contains(statuses, p.Status) && p.DataCentre == s.self.DataCentre && p.Node != s.self.Node {
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
