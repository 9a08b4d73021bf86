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

// members is a membership that a test changes.
type members struct {
	current atomic.Pointer[membership.Snapshot]
}

func (m *members) Current() *membership.Snapshot { return m.current.Load() }

// table is a configuration that a test changes.
type table struct {
	current atomic.Pointer[config.Snapshot]
}

func (c *table) Current() *config.Snapshot { return c.current.Load() }

func (c *table) set(orgs ...config.OrganisationRow) {
	s := &config.Snapshot{Organisations: make(map[domain.OrganisationID]*config.Organisation)}
	for _, row := range orgs {
		s.Organisations[row.ID] = &config.Organisation{OrganisationRow: row}
	}
	c.current.Store(s)
}

// cluster is nodes that share organisation "o".
type cluster struct {
	nodes    int
	network  *peertest.Network
	config   table
	members  []*members
	services []*Service
}

func run(t *testing.T, nodes int, row config.OrganisationRow, f func(c *cluster)) {
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
		c.members = append(c.members, &members{})
		c.sees(i, nil)
		s := New(Options{Transport: c.network.Node(member(i)), Membership: c.members[i], Config: &c.config})
		c.services = append(c.services, s)
	}
	for _, s := range c.services {
		go func() { _ = s.Run(ctx) }()
	}
	return c
}

// sees makes a node see all others as alive but for those unreachable.
func (c *cluster) sees(node int, unreachable map[int]bool) {
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

// burst offers requests to a node all at once and returns the permits.
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

// owner returns the number of the node that owns "o".
func (c *cluster) owner() int {
	m, _ := c.services[0].fleet.Load().owner("o")
	for i := range c.services {
		if member(i).Node == m.Node {
			return i
		}
	}
	panic("no owner")
}

func (c *cluster) other() int { return (c.owner() + 1) % len(c.services) }

func TestBurstAtOneNodeGetsTheWholeLimit(t *testing.T) {
	for _, limit := range []int{5, 100} {
		run(t, 7, config.OrganisationRow{InFlight: limit}, func(c *cluster) {
			node, start := c.other(), time.Now()
			permits := c.burst(node, 3*limit)
			assert.Assert(t, len(permits) >= limit*9/10 && len(permits) <= limit, "%d of %d", len(permits), limit)
			assert.Assert(t, time.Since(start) < time.Second)
			time.Sleep(2 * time.Second)
			permits = append(permits, c.burst(node, 3*limit)...)
			assert.Equal(t, len(permits), limit-6*ready(limit, 7), "but for one request of each other node")
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
			assert.Assert(t, next >= limit*9/10, "the next node gets %d of %d", next, limit)
		})
	}
}

// TestSmallLimitOverManyNodes keeps all nodes asking and checks that the limit is
// never exceeded, is used, and that no node is left out.
func TestSmallLimitOverManyNodes(t *testing.T) {
	run(t, 7, config.OrganisationRow{InFlight: 5}, func(c *cluster) {
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
	run(t, 7, config.OrganisationRow{InFlight: 200, TokensPerMinute: 6_000_000}, func(c *cluster) {
		node := c.other()
		c.network.ResetCounts()
		start := time.Now()
		p, err := c.admit(node)
		assert.NilError(t, err)
		assert.Equal(t, time.Since(start), time.Duration(0), "the first request waits for nobody")
		p.Release(1, 1)
		for range 5000 {
			if p, err := c.admit(node); err == nil {
				p.Release(10, 10)
			}
		}
		assert.Equal(t, c.network.Total(methodReport).Messages, 0)
		time.Sleep(30 * time.Second)
		assert.Assert(t, c.network.Total(methodReport).Messages <= 14, "%v", c.network.Total(methodReport))
		assert.Equal(t, c.services[c.owner()].books.len(), 1)
		time.Sleep(4 * DefaultEvictAfter)
		assert.Equal(t, len(c.services[node].accounts.current()), 0)
		assert.Equal(t, c.services[c.owner()].books.len(), 0)
	})
}

func TestTokensAMinute(t *testing.T) {
	const limit = 60_000
	run(t, 4, config.OrganisationRow{TokensPerMinute: limit}, func(c *cluster) {
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
		t.Logf("%.3f of the limit and a minute's burst used in %.1f minutes", part, minutes)
		assert.Assert(t, part > 0.85 && part <= 1.02, "%.3f of the limit in %.1f minutes", part, minutes)
	})
}

func TestTokenRefusalTellsWhen(t *testing.T) {
	run(t, 2, config.OrganisationRow{TokensPerMinute: 6000}, func(c *cluster) {
		p, err := c.services[0].Admit(c.org(), 50_000, 0)
		assert.NilError(t, err, "one that costs more than a minute's waits for a minute's")
		p.Release(0, 0)
		p, err = c.services[0].Admit(c.org(), 6000, 0)
		assert.NilError(t, err, "one that was not run costs nothing")
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
	run(t, 4, config.OrganisationRow{TokensPerMinute: 6000}, func(c *cluster) {
		p, err := c.services[0].Admit(c.org(), 5000, 0)
		assert.NilError(t, err)
		p.Release(0, 0)
		time.Sleep(DefaultIdleTimeout + 2*time.Second)
		_, err = c.services[1].Admit(c.org(), 5900, 0)
		assert.NilError(t, err)
	})
}

func TestOwnerOutOfReach(t *testing.T) {
	run(t, 4, config.OrganisationRow{InFlight: 20, TokensPerMinute: 6000}, func(c *cluster) {
		node, owner := c.other(), c.owner()
		held := c.burst(node, 14)
		assert.Equal(t, len(held), 14)
		c.network.Crash(member(owner).Node)
		time.Sleep(DefaultSlowReportInterval + 2*time.Second)
		held[0].Release(10, 10)
		_, err := c.admit(node)
		assert.NilError(t, err, "the last share is kept")
		cold := (owner + 2) % 4
		assert.Equal(t, len(c.burst(cold, 20)), 5, "an equal part where there was none")
		time.Sleep(DefaultShareRetention)
		releaseAll(held)
		assert.Equal(t, len(c.burst(node, 20)), 4, "an equal part in the end, of which one is running")
		spent := 0
		start := time.Now()
		for range 600 {
			if p, err := c.services[cold].Admit(&config.Organisation{OrganisationRow: config.OrganisationRow{ID: "o", TokensPerMinute: 6000}}, 100, 0); err == nil {
				p.Release(100, 0)
				spent += 100
			}
			time.Sleep(time.Second)
		}
		part := float64(spent) / (1500 * (1 + time.Since(start).Minutes()))
		assert.Assert(t, part > 0.9 && part <= 1, "%.2f of an equal part of the tokens", part)
	})
}

func TestPartitionAndChangeOfOwner(t *testing.T) {
	run(t, 4, config.OrganisationRow{InFlight: 20}, func(c *cluster) {
		owner := c.owner()
		rest := []int{(owner + 1) % 4, (owner + 2) % 4, (owner + 3) % 4}
		held := c.burst(rest[0], 12)
		assert.Equal(t, len(held), 12)
		c.network.Partition([]domain.NodeID{member(owner).Node}, []domain.NodeID{member(rest[0]).Node, member(rest[1]).Node, member(rest[2]).Node})
		for _, node := range rest {
			c.sees(node, map[int]bool{owner: true})
		}
		c.sees(owner, map[int]bool{rest[0]: true, rest[1]: true, rest[2]: true})
		time.Sleep(2 * time.Second)
		early := c.burst(rest[1], 20)
		assert.Assert(t, len(early) <= 8, "the new owner counts what is held: %d", len(early))
		time.Sleep(2 * DefaultSettleTime)
		late := c.burst(rest[1], 20)
		assert.Equal(t, len(held)+len(early)+len(late), 20)
		time.Sleep(DefaultShareRetention + 3*DefaultSlowReportInterval)
		alone := c.burst(owner, 30)
		assert.Equal(t, len(alone), 20, "each side may use the limit")
		c.network.HealAll()
		for i := range 4 {
			c.sees(i, nil)
		}
		time.Sleep(3 * DefaultSettleTime)
		releaseAll(held)
		releaseAll(late)
		time.Sleep(3 * DefaultSettleTime)
		assert.Equal(t, len(c.burst(rest[2], 20)), 0, "the other side still uses all")
		releaseAll(alone)
		releaseAll(early)
		time.Sleep(3 * DefaultSettleTime)
		assert.Equal(t, len(c.burst(rest[2], 30)), 20)
	})
}

func TestChangedLimitHoldsAtOnce(t *testing.T) {
	run(t, 2, config.OrganisationRow{InFlight: 20}, func(c *cluster) {
		releaseAll(c.burst(0, 10))
		releaseAll(c.burst(1, 10))
		c.config.set(config.OrganisationRow{ID: "o", InFlight: 4})
		first, second := 0, 0
		for range 20 {
			if _, err := c.services[0].try(c.org(), newAdmission(c.org(), 2, 0, 0)); err == nil {
				first++
			}
			if _, err := c.services[1].try(c.org(), newAdmission(c.org(), 2, 0, 0)); err == nil {
				second++
			}
		}
		assert.Assert(t, first+second <= 4 && first+second >= 2, "%d and %d", first, second)
		c.config.set(config.OrganisationRow{ID: "o", InFlight: 50})
		time.Sleep(3 * time.Second)
		all := first + second + len(c.burst(0, 60))
		assert.Assert(t, all >= 45 && all <= 50, "and so does a higher one, but for what the other holds ready: %d", all)
	})
}

func TestUnlimited(t *testing.T) {
	run(t, 1, config.OrganisationRow{}, func(c *cluster) {
		for range 1000 {
			p, err := c.admit(0)
			assert.NilError(t, err)
			p.Release(1, 1)
		}
		assert.Equal(t, len(c.services[0].accounts.current()), 0)
	})
}
