package load

import (
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/deployment"
)

// Equal seeds yield equal requests and different seeds different ones, the offered work
// matches the requested load, answer lengths vary by a factor of 100, and all kinds of
// caller behaviour occur.
func TestWorkload(t *testing.T) {
	for _, name := range deployment.Names() {
		d, err := deployment.ByName(name)
		assert.NilError(t, err)
		generate := func(seed uint64) *Workload {
			w, err := Generate(ModelOf(d), Options{Seed: seed, Load: 1, Duration: time.Minute})
			assert.NilError(t, err)
			return w
		}
		w := generate(1)
		assert.Assert(t, reflect.DeepEqual(w, generate(1)))
		assert.Assert(t, !reflect.DeepEqual(w.Requests, generate(2).Requests))

		keys := make(map[string]bool)
		var work time.Duration
		var retries, hangUps, nonIdempotent, turns int
		shortest, longest := 1<<30, 0
		for i := range w.Requests {
			r := &w.Requests[i]
			keys[r.Key] = true
			assert.Assert(t, i == 0 || r.At >= w.Requests[i-1].At)
			count(&retries, r.RetryAfter > 0)
			count(&hangUps, r.HangUpAfter > 0)
			count(&nonIdempotent, r.NonIdempotent)
			count(&turns, r.IsModelRequest() && r.NewTokens < r.PromptTokens/2)
			if r.IsModelRequest() {
				work += Cost(r, referenceBatch)
				shortest, longest = min(shortest, r.AnswerTokens), max(longest, r.AnswerTokens)
			}
		}
		assert.Equal(t, len(keys), len(w.Requests))
		offered := work.Seconds() / (Capacity(&d.Table) * w.Duration.Seconds())
		assert.Assert(t, offered > 0.99 && offered < 1.01, "%s: offered load is %.2f of capacity", name, offered)
		assert.Assert(t, w.Duration > w.Options.Duration*3/4 && w.Duration < w.Options.Duration*4/3, "duration scaled to %v", w.Duration)
		assert.Assert(t, w.Requests[len(w.Requests)-1].At < w.Duration)
		assert.Assert(t, longest >= 100*shortest, "%s: answers have %d to %d tokens", name, shortest, longest)
		for _, n := range []int{retries, hangUps, nonIdempotent, turns} {
			assert.Assert(t, n > len(w.Requests)/100, "%s: %d retries, %d hang-ups, %d non-idempotent calls, %d later turns", name, retries, hangUps, nonIdempotent, turns)
		}
	}
}

func count(n *int, condition bool) {
	if condition {
		*n++
	}
}

// The bound excludes requests that exceed the capacity and those that no engine could
// answer in time, and counts requests of higher tiers first.
func TestGoodputBound(t *testing.T) {
	d := deployment.Cucine()
	request := Request{Timeout: time.Second, AnswerTokens: 90}
	capacity := int(2 * Capacity(&d.Table) / Cost(&request, batchSize(&d.Table)).Seconds())
	w := &Workload{}
	for i := range 2 * capacity {
		request.Tier = 1
		if i%4 == 0 {
			request.Tier = 0
		}
		w.Requests = append(w.Requests, request)
	}
	w.Requests = append(w.Requests, Request{Timeout: time.Second, AnswerTokens: 101})
	bound := GoodputBound(w, &d.Table)
	assert.Equal(t, bound[0], (2*capacity+3)/4)
	assert.Equal(t, bound[0]+bound[1], capacity)
}
