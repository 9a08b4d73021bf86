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

var twoDataCentres = []domain.NodeID{"a1", "a2", "b1", "b2"}

// partitionDataCentres separates the data centres a and b and updates their nodes'
// membership views.
func (c *cluster) partitionDataCentres() {
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

func (c *cluster) healDataCentres() {
	c.network.HealAll()
	c.publish()
	time.Sleep(time.Second)
}

func (c *cluster) setStatus(status membership.Status, names ...domain.NodeID) {
	for _, name := range names {
		c.status[name] = status
	}
}

// Two data centres have one slot each. A request at a with a first-token target of 300
// ms is served in the preferred order: a free slot locally, a free slot elsewhere, a
// revocation locally, a revocation elsewhere.
func TestOverflow(t *testing.T) {
	tests := []struct {
		name string
		// a and b are the tiers that hold the slots; -1 for a free one.
		a, b        int
		partitioned bool
		// serves is the endpoint that serves the request of tier 1; empty if it stays
		// queued.
		serves domain.EndpointID
		// revokes is whether a grant is revoked for it.
		revokes bool
	}{
		{"free slot locally", -1, -1, false, "ea", false},
		{"free slot elsewhere", 1, -1, false, "eb", false},
		{"free slot elsewhere before a local revocation", 2, -1, false, "eb", false},
		{"local revocation before one elsewhere", 2, 2, false, "ea", true},
		{"revocation elsewhere before missing the first-token target", 1, 2, false, "eb", true},
		{"no lower tier anywhere", 1, 0, false, "", false},
		{"lower tier behind a partition can't be revoked", 1, 2, true, "", false},
		{"local revocation during a partition", 2, -1, true, "ea", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			rows := []config.EndpointRow{engine("ea", "a", 1, "quote"), engine("eb", "b", 1, "quote")}
			runCluster(t, rows, Options{}, twoDataCentres, func(t *testing.T, c *cluster) {
				if test.partitioned {
					c.partitionDataCentres()
				}
				holders := []*pendingAcquire{c.occupy(t, "a2", test.a), c.occupy(t, "b2", test.b)}
				a := newRequest(1)
				a.FirstToken = 300 * time.Millisecond
				w := c.acquire("a1", a)
				if test.serves == "" {
					w.requireWaiting(t, time.Second)
				} else {
					assert.Equal(t, w.requireGranted(t, 300*time.Millisecond).Endpoint(), test.serves)
				}
				revoked := 0
				for _, h := range holders {
					if h != nil && isRevoked(h.grant) {
						revoked++
					}
				}
				assert.Equal(t, revoked == 1, test.revokes)
				if !test.partitioned || test.serves != "" {
					return
				}
				// During a partition the guarantee covers only the reachable owners;
				// once healed, it covers all again.
				c.healDataCentres()
				a.FirstToken = 300 * time.Millisecond
				assert.Equal(t, c.acquire("a1", a).requireGranted(t, 300*time.Millisecond).Endpoint(), domain.EndpointID("eb"))
			})
		})
	}
}

// occupy takes a slot for a holder that obeys revocations.
func (c *cluster) occupy(t *testing.T, node domain.NodeID, tier int) *pendingAcquire {
	if tier < 0 {
		return nil
	}
	w := c.acquire(node, newRequest(domain.Tier(tier)))
	grant := w.requireGranted(t, 5*time.Millisecond)
	go func() {
		select {
		case <-grant.Revoked():
			grant.Release(completedResult)
		case <-c.ended:
		}
	}()
	return w
}

// A request that is queued in another data centre and would be late there returns to
// its own, where a lower tier has been granted a slot meanwhile.
func TestMovedRequestReturnsToLocalQueue(t *testing.T) {
	rows := []config.EndpointRow{engine("ea", "a", 1, "quote"), engine("eb", "b", 1, "quote")}
	runCluster(t, rows, Options{}, twoDataCentres, func(t *testing.T, c *cluster) {
		c.acquire("b1", newRequest(1)).requireGranted(t, 100*time.Millisecond).Release(completedResult)
		c.acquire("a1", newRequest(1)).requireGranted(t, 20*time.Second).Release(completedResult)
		c.acquire("b1", newRequest(1)).requireGranted(t, 5*time.Millisecond)
		held := c.acquire("a1", newRequest(1)).requireGranted(t, 5*time.Millisecond)
		a := newRequest(1)
		a.FirstToken = 2 * time.Second
		w := c.acquire("a2", a)
		w.requireWaiting(t, time.Second)
		assert.Equal(t, c.dump(c.ownerOf("b1", "b", quotePool)).Waiting[1], 1)
		held.Release(completedResult)
		c.occupy(t, "a1", 2)
		assert.Equal(t, w.requireGranted(t, time.Second).Endpoint(), domain.EndpointID("ea"))
	})
}

// A pool that only another data centre has is served from there, with queuing if
// necessary. A pool that no data centre has is refused.
func TestPoolServedOnlyElsewhere(t *testing.T) {
	rows := []config.EndpointRow{engine("eb", "b", 1, "quote")}
	runCluster(t, rows, Options{}, twoDataCentres, func(t *testing.T, c *cluster) {
		grant := c.acquire("a1", newRequest(1)).requireGranted(t, 10*time.Millisecond)
		w := c.acquire("a2", newRequest(1))
		w.requireWaiting(t, time.Second)
		grant.Release(completedResult)
		w.requireGranted(t, 10*time.Millisecond)
		unserved := newRequest(0)
		unserved.Pool = "model/none"
		c.acquire("a1", unserved).requireRefused(t, 10*time.Millisecond, ErrNoEndpoint)
		c.partitionDataCentres()
		c.acquire("a1", newRequest(0)).requireRefused(t, 10*time.Millisecond, ErrNoEndpoint)
	})
}

// Many requests of the lowest tier cause only a bounded number of quote calls to other
// data centres.
func TestQuotesAreCachedForLowestTier(t *testing.T) {
	rows := []config.EndpointRow{engine("ea", "a", 1, "quote"), engine("eb", "b", 1, "quote")}
	runCluster(t, rows, Options{QueueLimit: 5}, twoDataCentres, func(t *testing.T, c *cluster) {
		c.occupy(t, "a1", 2)
		c.occupy(t, "b1", 2)
		for range 200 {
			c.acquire("a1", newRequest(2))
			time.Sleep(5 * time.Millisecond)
		}
		sent := c.network.Total(methodQuote).Messages
		assert.Assert(t, sent > 0 && sent <= 2*(1+1000/250), "%d messages", sent)
	})
}

// Random requests over two data centres: whenever one is refused, no grant of a lower
// tier has been held for more than a second without being revoked; and no endpoint ever
// has more grants in use than its limit.
func TestNoHigherTierIsRefused(t *testing.T) {
	for seed := range uint64(5) {
		rows := []config.EndpointRow{
			engine("ea1", "a", 2, "quote"), engine("ea2", "a", 1, "quote hint"),
			engine("eb1", "b", 2, "quote"), engine("eb2", "b", 1, "hint"),
		}
		runCluster(t, rows, Options{QueueLimit: 8}, twoDataCentres, func(t *testing.T, c *cluster) {
			r := &randomLoad{c: c, t: t, inUse: make(map[domain.EndpointID]int), held: make(map[Grant]heldSince)}
			random := rand.New(rand.NewPCG(seed, seed))
			for range 400 {
				r.startRequest(random)
				time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
			}
			time.Sleep(10 * time.Second)
			r.mu.Lock()
			defer r.mu.Unlock()
			assert.Assert(t, r.refused > 20 && r.served > 50, "served %d, refused %d", r.served, r.refused)
			assert.Equal(t, r.violation, "")
		})
	}
}

type heldSince struct {
	tier domain.Tier
	pool domain.PoolName
	at   time.Time
}

// randomLoad makes random requests and records the grants in use.
type randomLoad struct {
	c               *cluster
	t               *testing.T
	mu              sync.Mutex
	inUse           map[domain.EndpointID]int
	held            map[Grant]heldSince
	served, refused int
	violation       string
}

func (r *randomLoad) startRequest(random *rand.Rand) {
	a := newRequest(domain.Tier(random.IntN(3)))
	if random.IntN(3) == 0 {
		a.Pool = "model/hint"
	}
	a.Deadline = time.Duration(500+random.IntN(4000)) * time.Millisecond
	if random.IntN(2) == 0 {
		a.FirstToken = a.Deadline / 3
	}
	service := r.c.nodes[twoDataCentres[random.IntN(len(twoDataCentres))]].Service
	took := time.Duration(50+random.IntN(1500)) * time.Millisecond
	go func() {
		grant, err := service.Acquire(r.t.Context(), a)
		if err != nil {
			r.recordRefusal(a, err)
			return
		}
		r.recordGrant(grant, a)
		select {
		case <-time.After(took):
		case <-grant.Revoked():
		}
		r.recordRelease(grant)
		grant.Release(completedResult)
	}()
}

func (r *randomLoad) recordGrant(grant Grant, a Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.served++
	r.held[grant] = heldSince{a.Tier, a.Pool, time.Now()}
	r.inUse[grant.Endpoint()]++
	if limit := r.c.config.Current().Endpoints[grant.Endpoint()].Limit; r.inUse[grant.Endpoint()] > limit {
		r.violation = "limit exceeded at " + string(grant.Endpoint())
	}
}

func (r *randomLoad) recordRelease(grant Grant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.held, grant)
	r.inUse[grant.Endpoint()]--
}

func (r *randomLoad) recordRefusal(a Request, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused++
	for grant, h := range r.held {
		serves := false
		for _, row := range r.c.config.Current().Pools[a.Pool] {
			serves = serves || row.ID == grant.Endpoint()
		}
		if serves && a.Tier.Above(h.tier) && !isRevoked(grant) && time.Since(h.at) > time.Second {
			r.violation = "higher tier refused while a lower one is served: " + err.Error()
		}
	}
}
