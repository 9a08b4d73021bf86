package places

import (
	"math/rand/v2"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/queue"
)

// ranks is the number of ranks of each tier: requests that can still be on time go before those that can't.
const ranks = 2

func queueItem(w *waiter, now time.Time, start time.Duration) queue.Item[*waiter] {
	ask := w.ask
	return queue.Item[*waiter]{
		Value:        w,
		Tier:         ask.rank(now, start),
		Organisation: ask.Organisation,
		Weight:       1,
		Cost:         1,
		Due:          ask.FirstByteDue.Add(-start),
	}
}

// rank is the ask's place in the order of tiers, if a request takes start to its first byte.
//
// Requests of one tier are ordered by Within. Where organisations share a tier, the routes' tiers would count for nothing
// otherwise: with them, mean worth on overloaded days rose from 0.603 to 0.614, 0.603 to 0.608 (two small deployments),
// 0.295 to 0.299 and 0.261 to 0.268 (small copies of two large ones); 1 is all that callers wanted, on time.
func (a *Request) rank(now time.Time, start time.Duration) domain.Tier {
	rank := a.baseRank()
	if a.late(now, start) {
		rank++
	}
	return rank
}

// baseRank is the rank of an ask that can be on time.
func (a *Request) baseRank() domain.Tier {
	return domain.Tier(ranks * (withinTiers*min(int(a.Tier), maxTier) + min(int(a.SubTier), withinTiers-1)))
}

const (
	// maxTier is the lowest tier that is told from those below it, withinTiers the number of steps within a tier that are
	// told apart. A rank is one byte.
	maxTier     = 31
	withinTiers = 4
)

// late reports whether the latency objective would be missed if the request were sent now.
func (a *Request) late(now time.Time, start time.Duration) bool {
	return !now.Add(start).Before(a.FirstByteDue)
}

// choosy reports whether there may be room that the ask can't use: it leaves the last places to those that can be on
// time, waits for an endpoint that is fast enough or has the memory, or has tried some.
func (a *Request) choosy(now time.Time, start time.Duration, reserves bool) bool {
	return a.late(now, start) || reserves || a.AnswerTokens >= longAnswer || a.PromptTokens >= longPrompt || len(a.Excluded) > 0
}

// patience is how long the ask may wait.
func (a *Request) patience(now time.Time) time.Duration {
	if a.Urgent {
		return a.Due.Sub(now)
	}
	return min(max(a.FirstByteDue.Sub(now), 0)+lateMost, a.Due.Sub(now))
}

// retryAfter is when a refused caller is told to come back. A third of what is left is the longest that callers wait
// when told to; the later they come, the more likely is the overload over, and an answer on time is lost anyway.
func (a *Request) retryAfter(now time.Time) time.Duration {
	most := min(a.Due.Sub(now)/3, retryMost)
	return max(most-rand.N(max(most/4, 1)), retryLeast)
}
