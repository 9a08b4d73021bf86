package queue

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornrill.example/hawthornrill/domain"
)

var epoch = time.Unix(0, 0)

// parseItem parses "name tier organisation weight due"; the cost is 10.
func parseItem(text string) *Item[string] {
	var name, organisation string
	var tier, weight, due int
	if _, err := fmt.Sscan(text, &name, &tier, &organisation, &weight, &due); err != nil {
		panic(err)
	}
	return &Item[string]{
		Value: name, Tier: domain.Tier(tier), Organisation: domain.OrganisationID(organisation),
		Weight: weight, Cost: 10, Due: epoch.Add(time.Duration(due) * time.Second),
	}
}

func always(*Item[string]) bool { return true }

// drain pops all items and returns their names in order.
func drain(q *Queue[string]) string {
	var names []string
	for q.Len() > 0 {
		names = append(names, q.Pop(always).Value)
	}
	return strings.Join(names, " ")
}

func TestOrderAndEviction(t *testing.T) {
	tests := []struct {
		name    string
		bound   int
		items   []string
		order   string
		evicted string
	}{
		{"strict tier priority", 9, []string{"a 2 o 1 1", "b 0 o 1 9", "c 1 o 1 5"}, "b c a", ""},
		{"deadline within an organisation", 9, []string{"a 0 o 1 3", "b 0 o 1 1", "c 0 o 1 2", "d 0 o 1 1"}, "b d c a", ""},
		{"organisations take turns", 9, []string{"a 0 x 1 1", "b 0 x 1 2", "c 0 x 1 3", "d 0 y 1 9", "e 0 y 1 9"}, "a d b e c", ""},
		{"organisations take turns by weight", 9, []string{"a 0 x 2 1", "b 0 x 2 2", "c 0 x 2 3", "d 0 x 2 4", "e 0 y 1 1", "f 0 y 1 2"}, "a e b c f d", ""},
		{"lowest tier is evicted", 2, []string{"a 1 o 1 1", "b 2 o 1 1", "c 0 o 1 1"}, "c a", "b"},
		{"a new item of the lowest tier is evicted", 2, []string{"a 0 o 1 1", "b 0 o 1 1", "c 2 o 1 1"}, "a b", "c"},
		{"latest deadline of the longest backlog is evicted", 3, []string{"a 0 x 1 1", "b 0 x 1 5", "c 0 x 1 3", "d 0 y 1 9"}, "a d c", "b"},
		{"longest backlog is measured by weight", 4, []string{"a 0 x 3 1", "b 0 x 3 2", "c 0 x 3 3", "d 0 y 1 1", "e 0 y 1 2"}, "a d b c", "e"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			q := New[string](test.bound)
			evicted := ""
			for _, text := range test.items {
				if e := q.Push(parseItem(text)); e != nil {
					evicted += e.Value
				}
			}
			assert.Equal(t, evicted, test.evicted)
			assert.Equal(t, drain(q), test.order)
		})
	}
}

func TestPredicateExpiryAndRemoval(t *testing.T) {
	q := New[string](9)
	for _, text := range []string{"a 0 o 1 5", "b 0 o 1 1", "c 1 o 1 2", "d 1 o 1 9"} {
		q.Push(parseItem(text))
	}
	notB := func(i *Item[string]) bool { return i.Value != "b" }
	assert.Equal(t, q.Peek(notB).Value, "a")
	assert.Equal(t, q.Pop(notB).Value, "a")
	assert.Assert(t, q.Pop(func(*Item[string]) bool { return false }) == nil)
	var expired []string
	for _, i := range q.Expire(epoch.Add(2 * time.Second)) {
		expired = append(expired, i.Value)
		assert.Assert(t, !q.Remove(i), "expired items are no longer queued")
	}
	assert.DeepEqual(t, expired, []string{"b", "c"})
	assert.Equal(t, drain(q), "d")
}

// An organisation that was idle earns no credit for that time.
func TestIdleOrganisationsEarnNoCredit(t *testing.T) {
	q := New[string](99)
	q.Push(parseItem("y 0 y 1 1"))
	q.Pop(always)
	for i := range 5 {
		q.Push(parseItem(fmt.Sprintf("x%d 0 x 1 %d", i, i)))
	}
	for range 4 {
		q.Pop(always)
	}
	q.Push(parseItem("y1 0 y 1 1"))
	q.Push(parseItem("y2 0 y 1 2"))
	q.Push(parseItem("y3 0 y 1 3"))
	q.Push(parseItem("x5 0 x 1 9"))
	assert.Equal(t, drain(q), "y1 x4 y2 x5 y3")
}

// Shares of work follow the weights, whatever the costs and deadlines.
func TestSharesFollowWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New[string](1 << 20)
		weights := rapid.SliceOfN(rapid.IntRange(1, 10), 2, 6).Draw(t, "weights")
		work := make([]float64, len(weights))
		index := make(map[domain.OrganisationID]int)
		for i, w := range weights {
			name := domain.OrganisationID(fmt.Sprint("o", i))
			index[name] = i
			for range 400 {
				cost := rapid.Int64Range(1, 100).Draw(t, "cost")
				q.Push(&Item[string]{Organisation: name, Weight: w, Cost: cost})
			}
		}
		for range 400 {
			i := q.Pop(always)
			work[index[i.Organisation]] += float64(i.Cost)
		}
		for i := range work {
			work[i] /= float64(weights[i])
		}
		// Start-time fair queueing: two backlogged organisations differ by at most one maximum cost over the
		// weight of each.
		assert.Assert(t, slices.Max(work)-slices.Min(work) <= 200, "%v by %v", work, weights)
	})
}

// The queue's counts match its contents under random use, and estimated positions stay within its length.
func TestCountsAndPositionsUnderRandomUse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New[string](rapid.IntRange(1, 20).Draw(t, "bound"))
		waiting := make(map[*Item[string]]bool)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			i := parseItem(fmt.Sprintf("i %d o%d %d %d", rapid.IntRange(0, 2).Draw(t, "tier"),
				rapid.IntRange(0, 4).Draw(t, "organisation"), rapid.IntRange(1, 3).Draw(t, "weight"), rapid.IntRange(0, 9).Draw(t, "due")))
			waiting[i] = true
			if evicted := q.Push(i); evicted != nil {
				delete(waiting, evicted)
				for other := range waiting {
					assert.Assert(t, !evicted.Tier.Above(other.Tier), "evicted an item of a higher tier than a waiting one")
				}
			}
			last := q.Last()
			if rapid.Bool().Draw(t, "pop") {
				popped := q.Pop(func(i *Item[string]) bool { return i != last })
				delete(waiting, popped)
			}
			assert.Equal(t, q.Len(), len(waiting))
			for i, ahead := range q.Positions() {
				assert.Assert(t, waiting[i] && ahead >= 0 && ahead < q.Len())
				assert.Equal(t, ahead, q.Ahead(i))
			}
			assert.Equal(t, q.LenTier(0)+q.LenTier(1)+q.LenTier(2), q.Len())
		}
	})
}
