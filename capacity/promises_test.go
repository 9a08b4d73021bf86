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

// Under random asks, releases and lapses of time, with holders that heed
// revocations: limits hold, the accounts add
// up, no ask is refused while a grant of a lower tier that could make room for it
// is not revoked, and no ask is granted before a higher one that could use the
// same place.
func TestPromisesUnderRandomUse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rows := []config.EndpointRow{engine("e1", "a", 2, "quote"), engine("e2", "a", 3, "quote hint"), engine("e3", "a", 1, "hint")}
		o := newOwnerTest(Options{QueueLimit: 6, GrantTTL: time.Hour}, rows...)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				o.check(t, o.randomAsk(t))
			case 2:
				o.endOne(t)
			case 3:
				o.after(o.options.Tick)
			}
			for len(o.out) > 0 {
				for _, out := range o.takeOut() {
					o.check(t, out.ruling)
				}
			}
			o.checkAccounts(t)
		}
	})
}

func (t *ownerTest) randomAsk(r *rapid.T) ruling {
	a := ask(domain.Tier(rapid.IntRange(0, 2).Draw(r, "tier")))
	a.Pool = rapid.SampledFrom([]domain.PoolName{quotePool, "model/hint"}).Draw(r, "pool")
	a.Deadline = time.Duration(rapid.IntRange(1, 30).Draw(r, "deadline")) * time.Second
	if rapid.Bool().Draw(r, "aim") {
		a.FirstToken = a.Deadline / 4
	}
	t.asked = append(t.asked, a)
	return t.put(a)
}

func (t *ownerTest) endOne(r *rapid.T) {
	var ids []askID
	for _, p := range t.pools {
		for id := range t.holderOf(p.name).grants {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return
	}
	slices.Sort(ids)
	id := rapid.SampledFrom(ids).Draw(r, "end")
	p := t.pools[t.asked[id-1].Pool]
	t.release(t.now, t.member, p, &releaseMessage{Pool: p.name, ID: id, Result: &used})
}

// check looks at a refusal: no grant of a lower tier may be left that is not
// revoked; and at a grant: no higher ask of the pool may wait.
func (t *ownerTest) check(r *rapid.T, ruling ruling) {
	a := t.asked[ruling.ID-1]
	p := t.pools[a.Pool]
	switch ruling.Verdict {
	case verdictRefused:
		for _, pl := range p.places {
			lowest, ok := pl.lowest()
			assert.Assert(r, !ok || !a.Tier.Above(lowest), "tier %d refused while %d is served", a.Tier, lowest)
		}
	case verdictRevoked:
		t.release(t.now, t.member, p, &releaseMessage{Pool: p.name, ID: ruling.ID, Result: &used})
	case verdictGranted:
		for _, e := range t.holderOf(a.Pool).entries {
			assert.Assert(r, !e.ask.Tier.Above(a.Tier), "tier %d granted before %d", a.Tier, e.ask.Tier)
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
	for _, p := range t.places {
		assert.Assert(r, p.state.Requests <= p.state.Limit)
		grants -= p.state.Requests
	}
	assert.Equal(r, grants, 0)
}
