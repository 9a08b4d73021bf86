package limits

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/membership"
	"hawthornrill.example/hawthornrill/peer/peertest"
)

// memberView is a membership view that a test changes.
type memberView struct {
	current atomic.Pointer[membership.Snapshot]
}

func (m *memberView) Current() *membership.Snapshot { return m.current.Load() }

// configView is a configuration view that a test changes.
type configView struct {
	current atomic.Pointer[config.Snapshot]
}

func (c *configView) Current() *config.Snapshot { return c.current.Load() }

func (c *configView) set(orgs ...config.OrganisationRow) {
	s := &config.Snapshot{Organisations: make(map[domain.OrganisationID]*config.Organisation)}
	for _, row := range orgs {
		s.Organisations[row.ID] = &config.Organisation{OrganisationRow: row}
	}
	c.current.Store(s)
}

// cluster is a set of nodes that share organisation "o".
type cluster struct {
	nodes    int
	network  *peertest.Network
	config   configView
	members  []*memberView
	services []*Service
}

func runCluster(t *testing.T, nodes int, row config.OrganisationRow, f func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := newCluster(ctx, nodes, row)
		defer c.network.Close()
		defer cancel()
		time.Sleep(2*DefaultSettleTime + DefaultReportInterval/2)
		f(c)
		for _, s := range c.services {
			s.Close()
		}
	})
}

func newCluster(ctx context.Context, nodes int, row config.OrganisationRow) *cluster {
	c := &cluster{nodes: nodes, network: peertest.NewNetwork()}
	row.ID = "o"
	c.config.set(row)
	c.network.SetDelay(func(from, to domain.Member) time.Duration { return time.Millisecond })
	for i := range nodes {
		c.members = append(c.members, &memberView{})
		c.setView(i, nil)
		s := New(Options{Transport: c.network.Node(member(i)), Membership: c.members[i], Config: &c.config})
		c.services = append(c.services, s)
	}
	for _, s := range c.services {
		go func() { _ = s.Run(ctx) }()
	}
	return c
}

// setView makes a node see all others as alive except for the unreachable ones.
func (c *cluster) setView(node int, unreachable map[int]bool) {
	view := &membership.Snapshot{Self: member(node)}
	for i := range c.nodes {
		p := membership.Peer{Member: member(i)}
		if unreachable[i] {
			p.Status = membership.StatusUnreachable
		}
		view.Peers = append(view.Peers, p)
	}
	c.members[node].current.Store(view)
}

func (c *cluster) org() *config.Organisation { return c.config.Current().Organisations["o"] }

func (c *cluster) admit(node int) (*Permit, error) {
	return c.services[node].Admit(c.org(), 10, 10)
}

// burst submits requests to a node concurrently and returns the permits.
func (c *cluster) burst(node, count int) []*Permit {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var permits []*Permit
	for range count {
		wg.Go(func() {
			if p, err := c.admit(node); err == nil {
				mu.Lock()
				defer mu.Unlock()
				permits = append(permits, p)
			}
		})
	}
	wg.Wait()
	return permits
}

func releaseAll(permits []*Permit) {
	for _, p := range permits {
		p.Release(10, 10)
	}
}

// owner returns the index of the node that owns "o".
func (c *cluster) owner() int {
	m, _ := c.services[0].nodeSet.Load().owner("o")
	for i := range c.services {
		if member(i).Node == m.Node {
			return i
		}
	}
	panic("no owner")
}

func (c *cluster) nonOwner() int { return (c.owner() + 1) % len(c.services) }

func TestBurstAtOneNodeGetsWholeLimit(t *testing.T) {
	for _, limit := range []int{5, 100} {
		runCluster(t, 7, config.OrganisationRow{InFlight: limit}, func(c *cluster) {
			node, start := c.nonOwner(), time.Now()
			permits := c.burst(node, 3*limit)
			assert.Assert(t, len(permits) >= limit*9/10 && len(permits) <= limit, "%d of %d", len(permits), limit)
			assert.Assert(t, time.Since(start) < time.Second)
			time.Sleep(2 * time.Second)
			permits = append(permits, c.burst(node, 3*limit)...)
			assert.Equal(t, len(permits), limit-6*reserved(limit, 7), "except for one reserved request of each other node")
			_, err := c.admit(node)
			assert.ErrorIs(t, err, ErrInFlight)
			var refusal *Error
			assert.Assert(t, errors.As(err, &refusal) && refusal.RetryAfter == DefaultRetryAfter)
			c.network.ResetCounts()
			for range 50 {
				time.Sleep(10 * time.Millisecond)
				_, err := c.admit(node)
				assert.ErrorIs(t, err, ErrInFlight)
			}
			assert.Assert(t, c.network.Total(methodReport).Messages <= 14, "%v for 50 refusals", c.network.Total(methodReport))
			releaseAll(permits)
			time.Sleep(3 * time.Second)
			next := len(c.burst((node+1)%7, 3*limit))
			assert.Assert(t, next >= limit*9/10, "the next node got %d of %d", next, limit)
		})
	}
}

// All nodes keep submitting requests. The limit must never be exceeded and must be
// well used, and every node must get its part.
func TestSmallLimitOverManyNodes(t *testing.T) {
	runCluster(t, 7, config.OrganisationRow{InFlight: 5}, func(c *cluster) {
		var running, total atomic.Int64
		var admitted [7]atomic.Int64
		var wg sync.WaitGroup
		for i := range 21 {
			wg.Go(func() {
				for range 300 {
					p, err := c.admit(i % 7)
					if err != nil {
						time.Sleep(200 * time.Millisecond)
						continue
					}
					if n := running.Add(1); n > 5 {
						t.Errorf("%d in flight", n)
					}
					time.Sleep(100 * time.Millisecond)
					total.Add(1)
					admitted[i%7].Add(1)
					running.Add(-1)
					p.Release(1, 1)
				}
			})
		}
		start := time.Now()
		wg.Wait()
		used := float64(total.Load()) * 0.1 / (5 * time.Since(start).Seconds())
		sent := c.network.Total(methodReport)
		t.Logf("%.2f of the limit used, %.1f messages and %.0f B a second", used, float64(sent.Messages)/time.Since(start).Seconds(), float64(sent.Bytes)/time.Since(start).Seconds())
		assert.Assert(t, used > 0.7, "%.2f of the limit used", used)
		for i := range admitted {
			assert.Assert(t, admitted[i].Load() > total.Load()/30, "node %d had %d of %d", i, admitted[i].Load(), total.Load())
		}
	})
}

func TestAdmissionSendsNoMessages(t *testing.T) {
	runCluster(t, 7, config.OrganisationRow{InFlight: 200, TokensPerMinute: 6_000_000}, func(c *cluster) {
		node := c.nonOwner()
		c.network.ResetCounts()
		start := time.Now()
		p, err := c.admit(node)
		assert.NilError(t, err)
		assert.Equal(t, time.Since(start), time.Duration(0), "the first request does not wait")
		p.Release(1, 1)
		for range 5000 {
			if p, err := c.admit(node); err == nil {
				p.Release(10, 10)
			}
		}
		assert.Equal(t, c.network.Total(methodReport).Messages, 0)
		time.Sleep(30 * time.Second)
		assert.Assert(t, c.network.Total(methodReport).Messages <= 14, "%v", c.network.Total(methodReport))
		assert.Equal(t, c.services[c.owner()].allocators.len(), 1)
		time.Sleep(4 * DefaultEvictAfter)
		assert.Equal(t, len(c.services[node].accounts.current()), 0)
		assert.Equal(t, c.services[c.owner()].allocators.len(), 0)
	})
}

func TestTokensPerMinute(t *testing.T) {
	const limit = 60_000
	runCluster(t, 4, config.OrganisationRow{TokensPerMinute: limit}, func(c *cluster) {
		var spent atomic.Int64
		var wg sync.WaitGroup
		for i := range 8 {
			wg.Go(func() {
				for range 400 {
					p, err := c.services[i%4].Admit(c.org(), 500, 500)
					if err == nil {
						time.Sleep(50 * time.Millisecond)
						p.Release(500, 200)
						p.Release(500, 200)
						spent.Add(700)
						continue
					}
					time.Sleep(time.Second)
				}
			})
		}
		start := time.Now()
		wg.Wait()
		minutes := time.Since(start).Minutes()
		part := float64(spent.Load()) / (limit * (minutes + 1))
		t.Logf("%.3f of the limit and one minute's burst used in %.1f minutes", part, minutes)
		assert.Assert(t, part > 0.85 && part <= 1.02, "%.3f of the limit in %.1f minutes", part, minutes)
	})
}

func TestTokenRefusalRetryAfter(t *testing.T) {
	runCluster(t, 2, config.OrganisationRow{TokensPerMinute: 6000}, func(c *cluster) {
		p, err := c.services[0].Admit(c.org(), 50_000, 0)
		assert.NilError(t, err, "a request above the limit needs one minute's tokens")
		p.Release(0, 0)
		p, err = c.services[0].Admit(c.org(), 6000, 0)
		assert.NilError(t, err, "a request that was not run costs nothing")
		time.Sleep(2 * time.Second)
		_, err = c.services[0].Admit(c.org(), 3000, 0)
		var refusal *Error
		assert.Assert(t, errors.As(err, &refusal) && errors.Is(err, ErrTokenRate))
		assert.Assert(t, refusal.RetryAfter > 20*time.Second && refusal.RetryAfter <= 30*time.Second, "%v", refusal.RetryAfter)
		time.Sleep(refusal.RetryAfter + time.Second)
		_, err = c.services[0].Admit(c.org(), 3000, 0)
		assert.NilError(t, err)
		p.Release(6000, 0)
	})
}

func TestUnusedTokensAreGivenBack(t *testing.T) {
	runCluster(t, 4, config.OrganisationRow{TokensPerMinute: 6000}, func(c *cluster) {
		p, err := c.services[0].Admit(c.org(), 5000, 0)
		assert.NilError(t, err)
		p.Release(0, 0)
		time.Sleep(DefaultIdleTimeout + 2*time.Second)
		_, err = c.services[1].Admit(c.org(), 5900, 0)
		assert.NilError(t, err)
	})
}

func TestOwnerUnreachable(t *testing.T) {
	runCluster(t, 4, config.OrganisationRow{InFlight: 20, TokensPerMinute: 6000}, func(c *cluster) {
		node, owner := c.nonOwner(), c.owner()
		held := c.burst(node, 14)
		assert.Equal(t, len(held), 14)
		c.network.Crash(member(owner).Node)
		time.Sleep(DefaultSlowReportInterval + 2*time.Second)
		held[0].Release(10, 10)
		_, err := c.admit(node)
		assert.NilError(t, err, "the last share is kept")
		noShare := (owner + 2) % 4
		assert.Equal(t, len(c.burst(noShare, 20)), 5, "an equal part without an earlier share")
		time.Sleep(DefaultShareRetention)
		releaseAll(held)
		assert.Equal(t, len(c.burst(node, 20)), 4, "an equal part after ShareRetention, of which one is in flight")
		spent := 0
		start := time.Now()
		for range 600 {
			if p, err := c.services[noShare].Admit(&config.Organisation{OrganisationRow: config.OrganisationRow{ID: "o", TokensPerMinute: 6000}}, 100, 0); err == nil {
				p.Release(100, 0)
				spent += 100
			}
			time.Sleep(time.Second)
		}
		part := float64(spent) / (1500 * (1 + time.Since(start).Minutes()))
		assert.Assert(t, part > 0.9 && part <= 1, "%.2f of the equal part of the tokens used", part)
	})
}

func TestPartitionAndOwnerChange(t *testing.T) {
	runCluster(t, 4, config.OrganisationRow{InFlight: 20}, func(c *cluster) {
		owner := c.owner()
		others := []int{(owner + 1) % 4, (owner + 2) % 4, (owner + 3) % 4}
		held := c.burst(others[0], 12)
		assert.Equal(t, len(held), 12)
		c.network.Partition([]domain.NodeID{member(owner).Node}, []domain.NodeID{member(others[0]).Node, member(others[1]).Node, member(others[2]).Node})
		for _, node := range others {
			c.setView(node, map[int]bool{owner: true})
		}
		c.setView(owner, map[int]bool{others[0]: true, others[1]: true, others[2]: true})
		time.Sleep(2 * time.Second)
		early := c.burst(others[1], 20)
		assert.Assert(t, len(early) <= 8, "the new owner counts held shares: %d", len(early))
		time.Sleep(2 * DefaultSettleTime)
		late := c.burst(others[1], 20)
		assert.Equal(t, len(held)+len(early)+len(late), 20)
		time.Sleep(DefaultShareRetention + 3*DefaultSlowReportInterval)
		alone := c.burst(owner, 30)
		assert.Equal(t, len(alone), 20, "each side may use the whole limit")
		c.network.HealAll()
		for i := range 4 {
			c.setView(i, nil)
		}
		time.Sleep(3 * DefaultSettleTime)
		releaseAll(held)
		releaseAll(late)
		time.Sleep(3 * DefaultSettleTime)
		assert.Equal(t, len(c.burst(others[2], 20)), 0, "the other side still uses the whole limit")
		releaseAll(alone)
		releaseAll(early)
		time.Sleep(3 * DefaultSettleTime)
		assert.Equal(t, len(c.burst(others[2], 30)), 20)
	})
}

func TestChangedLimitAppliesAtOnce(t *testing.T) {
	runCluster(t, 2, config.OrganisationRow{InFlight: 20}, func(c *cluster) {
		releaseAll(c.burst(0, 10))
		releaseAll(c.burst(1, 10))
		c.config.set(config.OrganisationRow{ID: "o", InFlight: 4})
		first, second := 0, 0
		for range 20 {
			if _, err := c.services[0].tryAdmit(c.org(), newAdmission(c.org(), 2, 0, 0)); err == nil {
				first++
			}
			if _, err := c.services[1].tryAdmit(c.org(), newAdmission(c.org(), 2, 0, 0)); err == nil {
				second++
			}
		}
		assert.Assert(t, first+second <= 4 && first+second >= 2, "admitted %d and %d", first, second)
		c.config.set(config.OrganisationRow{ID: "o", InFlight: 50})
		time.Sleep(3 * time.Second)
		all := first + second + len(c.burst(0, 60))
		assert.Assert(t, all >= 45 && all <= 50, "a higher limit applies too, except for the requests reserved for the other node: %d", all)
	})
}

func TestUnlimited(t *testing.T) {
	runCluster(t, 1, config.OrganisationRow{}, func(c *cluster) {
		for range 1000 {
			p, err := c.admit(0)
			assert.NilError(t, err)
			p.Release(1, 1)
		}
		assert.Equal(t, len(c.services[0].accounts.current()), 0)
	})
}
