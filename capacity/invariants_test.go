package capacity

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
)

// Random requests, releases and ticks, with holders that obey revocations: limits hold,
// the counters are consistent, no request is refused while a grant of a lower tier that
// could make room for it is not revoked, and no request is granted before a higher one
// that could use the same slot.
func TestInvariantsUnderRandomUse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rows := []config.EndpointRow{engine("e1", "a", 2, "quote"), engine("e2", "a", 3, "quote hint"), engine("e3", "a", 1, "hint")}
		o := newOwnerTest(Options{QueueLimit: 6, GrantTTL: time.Hour}, rows...)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				o.checkDecision(t, o.randomRequest(t))
			case 2:
				o.releaseOne(t)
			case 3:
				o.advance(o.options.Tick)
			}
			for len(o.out) > 0 {
				for _, out := range o.takeOut() {
					o.checkDecision(t, out.decision)
				}
			}
			o.checkAccounts(t)
		}
	})
}

func (t *ownerTest) randomRequest(r *rapid.T) decision {
	a := newRequest(domain.Tier(rapid.IntRange(0, 2).Draw(r, "tier")))
	a.Pool = rapid.SampledFrom([]domain.PoolName{quotePool, "model/hint"}).Draw(r, "pool")
	a.Deadline = time.Duration(rapid.IntRange(1, 30).Draw(r, "deadline")) * time.Second
	if rapid.Bool().Draw(r, "first token target") {
		a.FirstToken = a.Deadline / 4
	}
	t.requests = append(t.requests, a)
	return t.request(a)
}

func (t *ownerTest) releaseOne(r *rapid.T) {
	var ids []requestID
	for _, p := range t.pools {
		for id := range t.holderOf(p.name).grants {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return
	}
	slices.Sort(ids)
	id := rapid.SampledFrom(ids).Draw(r, "release")
	p := t.pools[t.requests[id-1].Pool]
	t.release(t.now, t.member, p, &releaseMessage{Pool: p.name, ID: id, Result: &completedResult})
}

// checkDecision checks a refusal: there must be no unrevoked grant of a lower tier. It
// checks a grant: no request of a higher tier may be queued for the pool.
func (t *ownerTest) checkDecision(r *rapid.T, d decision) {
	a := t.requests[d.ID-1]
	p := t.pools[a.Pool]
	switch d.Kind {
	case decisionRefused:
		for _, ep := range p.endpoints {
			lowest, ok := ep.lowestRevocable()
			assert.Assert(r, !ok || !a.Tier.Above(lowest), "tier %d refused while tier %d holds a revocable grant", a.Tier, lowest)
		}
	case decisionRevoked:
		t.release(t.now, t.member, p, &releaseMessage{Pool: p.name, ID: d.ID, Result: &completedResult})
	case decisionGranted:
		for _, e := range t.holderOf(a.Pool).entries {
			assert.Assert(r, !e.request.Tier.Above(a.Tier), "tier %d granted before tier %d", a.Tier, e.request.Tier)
		}
	}
}

func (t *ownerTest) checkAccounts(r *rapid.T) {
	waiting, grants := 0, 0
	for _, p := range t.pools {
		h := t.holderOf(p.name)
		assert.Equal(r, p.waiting, len(h.entries))
		waiting += len(h.entries)
		grants += len(h.grants)
	}
	assert.Equal(r, t.queue.Len(), waiting)
	assert.Assert(r, waiting <= 6+len(t.revoking))
	for _, p := range t.endpoints {
		assert.Assert(r, p.state.Requests <= p.state.Limit)
		grants -= p.state.Requests
	}
	assert.Equal(r, grants, 0)
}
