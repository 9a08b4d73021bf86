package capacity

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/membership"
)

var twoCentres = []domain.NodeID{"a1", "a2", "b1", "b2"}

// cutCentres parts the data centres a and b, and tells their nodes.
func (c *cluster) cutCentres() {
	as, bs := []domain.NodeID{"a1", "a2"}, []domain.NodeID{"b1", "b2"}
	c.network.Partition(as, bs)
	c.setStatus(membership.StatusUnreachable, bs...)
	c.publish(as...)
	c.setStatus(membership.StatusAlive, bs...)
	c.setStatus(membership.StatusUnreachable, as...)
	c.publish(bs...)
	c.setStatus(membership.StatusAlive, as...)
	time.Sleep(2 * time.Second)
}

func (c *cluster) healCentres() {
	c.network.HealAll()
	c.publish()
	time.Sleep(time.Second)
}

func (c *cluster) setStatus(status membership.Status, names ...domain.NodeID) {
	for _, name := range names {
		c.status[name] = status
	}
}

// Two data centres have one place each. An ask at a whose first token is due in
// 300 ms is served where it costs least.
func TestOverflow(t *testing.T) {
	tests := []struct {
		name string
		// a and b are the tiers that hold the places; -1 for a free one.
		a, b int
		cut  bool
		// serves is the endpoint that serves the ask of tier 1; none if it waits.
		serves domain.EndpointID
		// revokes tells whether a grant was revoked for it.
		revokes bool
	}{
		{"room at home", -1, -1, false, "ea", false},
		{"room elsewhere", 1, -1, false, "eb", false},
		{"room elsewhere before a revocation at home", 2, -1, false, "eb", false},
		{"a revocation at home before one elsewhere", 2, 2, false, "ea", true},
		{"a revocation elsewhere before missing the aim", 1, 2, false, "eb", true},
		{"nothing lower anywhere", 1, 0, false, "", false},
		{"a lower tier behind a cut can't be revoked", 1, 2, true, "", false},
		{"a revocation at home during a cut", 2, -1, true, "ea", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			rows := []config.EndpointRow{engine("ea", "a", 1, "quote"), engine("eb", "b", 1, "quote")}
			inCluster(t, rows, Options{}, twoCentres, func(t *testing.T, c *cluster) {
				if test.cut {
					c.cutCentres()
				}
				holders := []*waitingAsk{c.occupy(t, "a2", test.a), c.occupy(t, "b2", test.b)}
				a := ask(1)
				a.FirstToken = 300 * time.Millisecond
				w := c.begin("a1", a)
				if test.serves == "" {
					w.waits(t, time.Second)
				} else {
					assert.Equal(t, w.granted(t, 300*time.Millisecond).Endpoint(), test.serves)
				}
				revoked := 0
				for _, h := range holders {
					if h != nil && isRevoked(h.grant) {
						revoked++
					}
				}
				assert.Equal(t, revoked == 1, test.revokes)
				if !test.cut || test.serves != "" {
					return
				}
				// The promise during a cut is about the owners in reach; healed, it is
				// about all again.
				c.healCentres()
				a.FirstToken = 300 * time.Millisecond
				assert.Equal(t, c.begin("a1", a).granted(t, 300*time.Millisecond).Endpoint(), domain.EndpointID("eb"))
			})
		})
	}
}

// occupy takes a place for a holder that heeds revocations.
func (c *cluster) occupy(t *testing.T, node domain.NodeID, tier int) *waitingAsk {
	if tier < 0 {
		return nil
	}
	w := c.begin(node, ask(domain.Tier(tier)))
	grant := w.granted(t, 5*time.Millisecond)
	go func() {
		select {
		case <-grant.Revoked():
			grant.Release(used)
		case <-c.ended:
		}
	}()
	return w
}

// An ask that waits in another data centre and would be late there goes home, where
// a lower tier has got a place meanwhile.
func TestVisitorGoesHome(t *testing.T) {
	rows := []config.EndpointRow{engine("ea", "a", 1, "quote"), engine("eb", "b", 1, "quote")}
	inCluster(t, rows, Options{}, twoCentres, func(t *testing.T, c *cluster) {
		c.begin("b1", ask(1)).granted(t, 100*time.Millisecond).Release(used)
		c.begin("a1", ask(1)).granted(t, 20*time.Second).Release(used)
		c.begin("b1", ask(1)).granted(t, 5*time.Millisecond)
		held := c.begin("a1", ask(1)).granted(t, 5*time.Millisecond)
		a := ask(1)
		a.FirstToken = 2 * time.Second
		w := c.begin("a2", a)
		w.waits(t, time.Second)
		assert.Equal(t, c.dump(c.ownerOf("b1", "b", quotePool)).Waiting[1], 1)
		held.Release(used)
		c.occupy(t, "a1", 2)
		assert.Equal(t, w.granted(t, time.Second).Endpoint(), domain.EndpointID("ea"))
	})
}

// A pool that only another data centre has is served from there, by waiting if
// need be, and one that nobody has is refused.
func TestPoolElsewhere(t *testing.T) {
	rows := []config.EndpointRow{engine("eb", "b", 1, "quote")}
	inCluster(t, rows, Options{}, twoCentres, func(t *testing.T, c *cluster) {
		grant := c.begin("a1", ask(1)).granted(t, 10*time.Millisecond)
		w := c.begin("a2", ask(1))
		w.waits(t, time.Second)
		grant.Release(used)
		w.granted(t, 10*time.Millisecond)
		nobody := ask(0)
		nobody.Pool = "model/none"
		c.begin("a1", nobody).refused(t, 10*time.Millisecond, ErrNoEndpoint)
		c.cutCentres()
		c.begin("a1", ask(0)).refused(t, 10*time.Millisecond, ErrNoEndpoint)
	})
}

// A flood of the lowest tier asks the other data centres a bounded number of times.
func TestQuotesAreShared(t *testing.T) {
	rows := []config.EndpointRow{engine("ea", "a", 1, "quote"), engine("eb", "b", 1, "quote")}
	inCluster(t, rows, Options{QueueLimit: 5}, twoCentres, func(t *testing.T, c *cluster) {
		c.occupy(t, "a1", 2)
		c.occupy(t, "b1", 2)
		for range 200 {
			c.begin("a1", ask(2))
			time.Sleep(5 * time.Millisecond)
		}
		sent := c.network.Total(methodQuote).Messages
		assert.Assert(t, sent > 0 && sent <= 2*(1+1000/250), "%d messages", sent)
	})
}

// Random asks over two data centres: whenever one is refused, no grant of a lower
// tier has been held throughout the last second without being revoked; and no
// endpoint ever has more grants in use than its limit.
func TestNoHigherTierIsShed(t *testing.T) {
	for seed := range uint64(5) {
		rows := []config.EndpointRow{
			engine("ea1", "a", 2, "quote"), engine("ea2", "a", 1, "quote hint"),
			engine("eb1", "b", 2, "quote"), engine("eb2", "b", 1, "hint"),
		}
		inCluster(t, rows, Options{QueueLimit: 8}, twoCentres, func(t *testing.T, c *cluster) {
			r := &randomLoad{c: c, t: t, inUse: make(map[domain.EndpointID]int), held: make(map[Grant]heldSince)}
			random := rand.New(rand.NewPCG(seed, seed))
			for range 400 {
				r.one(random)
				time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
			}
			time.Sleep(10 * time.Second)
			r.mu.Lock()
			defer r.mu.Unlock()
			assert.Assert(t, r.refused > 20 && r.served > 50, "served %d, refused %d", r.served, r.refused)
			assert.Equal(t, r.broken, "")
		})
	}
}

type heldSince struct {
	tier domain.Tier
	pool domain.PoolName
	at   time.Time
}

// randomLoad runs random asks and keeps the log of grants.
type randomLoad struct {
	c               *cluster
	t               *testing.T
	mu              sync.Mutex
	inUse           map[domain.EndpointID]int
	held            map[Grant]heldSince
	served, refused int
	broken          string
}

func (r *randomLoad) one(random *rand.Rand) {
	a := ask(domain.Tier(random.IntN(3)))
	if random.IntN(3) == 0 {
		a.Pool = "model/hint"
	}
	a.Deadline = time.Duration(500+random.IntN(4000)) * time.Millisecond
	if random.IntN(2) == 0 {
		a.FirstToken = a.Deadline / 3
	}
	service := r.c.nodes[twoCentres[random.IntN(len(twoCentres))]].Service
	took := time.Duration(50+random.IntN(1500)) * time.Millisecond
	go func() {
		grant, err := service.Acquire(r.t.Context(), a)
		if err != nil {
			r.refuse(a, err)
			return
		}
		r.hold(grant, a)
		select {
		case <-time.After(took):
		case <-grant.Revoked():
		}
		r.drop(grant)
		grant.Release(used)
	}()
}

func (r *randomLoad) hold(grant Grant, a Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.served++
	r.held[grant] = heldSince{a.Tier, a.Pool, time.Now()}
	r.inUse[grant.Endpoint()]++
	if limit := r.c.config.Current().Endpoints[grant.Endpoint()].Limit; r.inUse[grant.Endpoint()] > limit {
		r.broken = "more than the limit at " + string(grant.Endpoint())
	}
}

func (r *randomLoad) drop(grant Grant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.held, grant)
	r.inUse[grant.Endpoint()]--
}

func (r *randomLoad) refuse(a Request, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused++
	for grant, h := range r.held {
		serves := false
		for _, row := range r.c.config.Current().Pools[a.Pool] {
			serves = serves || row.ID == grant.Endpoint()
		}
		if serves && a.Tier.Above(h.tier) && !isRevoked(grant) && time.Since(h.at) > time.Second {
			r.broken = "a higher tier refused: " + err.Error()
		}
	}
}
