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
	// maxParallelCollects bounds the concurrent calls.
	maxParallelCollects = 16
	// maxCollectRounds bounds how often a new owner asks again while another node
	// claims ownership.
	maxCollectRounds = 3
	// unreachableTimeout is how long the answers of nodes believed unreachable are
	// awaited once all others have answered.
	unreachableTimeout = 50 * time.Millisecond
)

// collect asks all nodes of the data centre, including this one, what they hold of a
// new owner's pools. The owner may grant when all have answered, or when
// Options.SettleTimeout has passed.
func (s *Service) collect(c *lockedOwner) {
	pools, started := c.beginCollect()
	if !started {
		return
	}
	s.registerReply(c, s.self, s.serveCollect(&collectRequest{DataCentre: s.self.DataCentre, Pools: pools}))
	others := s.localPeers(membership.StatusAlive, membership.StatusLeaving)
	suspects := s.localPeers(membership.StatusUnreachable)
	if len(others)+len(suspects) == 0 {
		s.settle(c)
		return
	}
	s.background(func(ctx context.Context) {
		for range maxCollectRounds {
			if s.collectOnce(ctx, c, others, suspects, pools) {
				break
			}
		}
		s.settle(c)
	})
}

// beginCollect returns the pools to ask about, and false if a collection is already
// running.
func (c *lockedOwner) beginCollect() ([]domain.PoolName, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isCollecting {
		return nil, false
	}
	c.isCollecting = true
	c.owner.lastTick = time.Now()
	return c.owner.poolNames(), true
}

// collectOnce asks every other node once, and waits less long for those believed
// unreachable. If any node claims ownership, it returns false at the end of
// Options.SettleTimeout.
func (s *Service) collectOnce(ctx context.Context, c *lockedOwner, others, suspects []domain.Member, pools []domain.PoolName) bool {
	ctx, cancel := context.WithTimeout(ctx, s.options.SettleTimeout)
	defer cancel()
	var disputed atomic.Bool
	asked := s.collectFromAll(ctx, c, others, pools, &disputed)
	suspected := s.collectFromAll(ctx, c, suspects, pools, &disputed)
	<-asked
	select {
	case <-suspected:
	case <-time.After(unreachableTimeout):
	}
	if disputed.Load() {
		<-ctx.Done()
	}
	return !disputed.Load()
}

// collectFromAll asks the members concurrently. The channel is closed when all have
// answered or timed out.
func (s *Service) collectFromAll(ctx context.Context, c *lockedOwner, members []domain.Member, pools []domain.PoolName, disputed *atomic.Bool) <-chan struct{} {
	done := make(chan struct{})
	s.tasks.Go(func() {
		defer close(done)
		var group errgroup.Group
		group.SetLimit(maxParallelCollects)
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

// collectFrom asks one node. It reports whether that node claims ownership.
func (s *Service) collectFrom(ctx context.Context, c *lockedOwner, member domain.Member, pools []domain.PoolName) bool {
	request := collectRequest{DataCentre: s.self.DataCentre, Pools: pools}
	reply, err := peer.Call[collectRequest, collectReply](ctx, s.transport, member, methodCollect, request)
	if err != nil {
		return false
	}
	s.registerReply(c, member, reply)
	return reply.ClaimsOwnership
}

// registerReply registers a node's requests and grants with the owner.
func (s *Service) registerReply(c *lockedOwner, from domain.Member, reply collectReply) {
	for i := range reply.Accounts {
		s.registerAccount(c, from, &reply.Accounts[i])
	}
}

func (s *Service) registerAccount(c *lockedOwner, from domain.Member, r *registerRequest) {
	out, _, _ := c.do(r.Pool, func(now time.Time, o *owner, p *pool) {
		h := p.holder(from, now)
		for _, d := range o.register(now, from, p, r.Records) {
			if d.Kind != decisionQueued {
				o.send(h, p, d)
			}
		}
	})
	s.deliver(out)
}

func (s *Service) settle(c *lockedOwner) {
	s.deliver(c.settle())
}

func (c *lockedOwner) settle() []outgoing {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isCollecting = false
	if c.lost {
		return nil
	}
	c.owner.settle(time.Now())
	return c.owner.takeOut()
}

// localPeers returns the other nodes of the data centre that have one of the statuses.
func (s *Service) localPeers(statuses ...membership.Status) []domain.Member {
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

// serveCollect reports to a new owner what this node holds.
func (s *Service) serveCollect(r *collectRequest) collectReply {
	var reply collectReply
	view := s.currentLayout()
	now := time.Now()
	for _, name := range r.Pools {
		if s.ownerOf(view, name) != nil {
			reply.ClaimsOwnership = true
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

func (o *owner) poolNames() []domain.PoolName {
	names := make([]domain.PoolName, 0, len(o.pools))
	for name := range o.pools {
		names = append(names, name)
	}
	return names
}
