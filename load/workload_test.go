package load

import (
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/deployment"
)

// The same seed gives the same requests, another one others; the work offered is
// that asked for; lengths differ a hundredfold; and every sort of caller is there.
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
		var retries, hangUps, once, turns int
		shortest, longest := 1<<30, 0
		for i := range w.Requests {
			r := &w.Requests[i]
			keys[r.Key] = true
			assert.Assert(t, i == 0 || r.At >= w.Requests[i-1].At)
			count(&retries, r.RetryAfter > 0)
			count(&hangUps, r.HangUpAfter > 0)
			count(&once, r.NonIdempotent)
			count(&turns, r.IsModelRequest() && r.NewTokens < r.PromptTokens/2)
			if r.IsModelRequest() {
				work += Cost(r, referenceBatch)
				shortest, longest = min(shortest, r.AnswerTokens), max(longest, r.AnswerTokens)
			}
		}
		assert.Equal(t, len(keys), len(w.Requests))
		offered := work.Seconds() / (Capacity(&d.Table) * w.Duration.Seconds())
		assert.Assert(t, offered > 0.99 && offered < 1.01, "%s: %.2f of capacity", name, offered)
		assert.Assert(t, w.Duration > w.Options.Duration*3/4 && w.Duration < w.Options.Duration*4/3, "stretched to %v", w.Duration)
		assert.Assert(t, w.Requests[len(w.Requests)-1].At < w.Duration)
		assert.Assert(t, longest >= 100*shortest, "%s: from %d to %d tokens", name, shortest, longest)
		for _, n := range []int{retries, hangUps, once, turns} {
			assert.Assert(t, n > len(w.Requests)/100, "%s: %d %d %d %d", name, retries, hangUps, once, turns)
		}
	}
}

func count(n *int, yes bool) {
	if yes {
		*n++
	}
}

// A request whose work does not fit any more is not in the bound, nor one that no
// engine could answer in time, and a higher tier's comes first.
func TestBound(t *testing.T) {
	d := deployment.Cucine()
	request := Request{Timeout: time.Second, AnswerTokens: 90}
	fitting := int(2 * Capacity(&d.Table) / Cost(&request, batchOf(&d.Table)).Seconds())
	w := &Workload{}
	for i := range 2 * fitting {
		request.Tier = 1
		if i%4 == 0 {
			request.Tier = 0
		}
		w.Requests = append(w.Requests, request)
	}
	w.Requests = append(w.Requests, Request{Timeout: time.Second, AnswerTokens: 101})
	bound := GoodputBound(w, &d.Table)
	assert.Equal(t, bound[0], (2*fitting+3)/4)
	assert.Equal(t, bound[0]+bound[1], fitting)
}
