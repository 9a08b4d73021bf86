package places

import (
	"math/rand/v2"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/queue"
)

// ranksPerTier is the number of queue ranks of each tier: requests that can still be on time precede those that can't.
const ranksPerTier = 2

func queueItem(w *waiter, now time.Time, start time.Duration) queue.Item[*waiter] {
	request := w.request
	return queue.Item[*waiter]{
		Value:        w,
		Tier:         request.rank(now, start),
		Organisation: request.Organisation,
		Weight:       1,
		Cost:         1,
		Due:          request.FirstByteDue.Add(-start),
	}
}

// rank is the request's queue rank, given the predicted time from dispatch to first byte.
//
// SubTier orders the requests of one tier. Without it the routes' tiers would have no effect where organisations share
// a tier: with it, the mean value served on overloaded days rose from 0.603 to 0.614 and from 0.603 to 0.608 (two small
// deployments), from 0.295 to 0.299 and from 0.261 to 0.268 (small copies of two large ones), where 1 is all that
// callers requested, on time.
func (r *Request) rank(now time.Time, start time.Duration) domain.Tier {
	rank := r.baseRank()
	if r.late(now, start) && !r.Resumption {
		rank++
	}
	return rank
}

// baseRank is the rank of a request that can be on time.
func (r *Request) baseRank() domain.Tier {
	return domain.Tier(ranksPerTier * (subTiers*min(int(r.Tier), maxTier) + min(int(r.SubTier), subTiers-1)))
}

const (
	// maxTier is the lowest tier that is distinguished from those below it, subTiers the number of levels distinguished
	// within a tier. A rank must fit in one byte.
	maxTier  = 31
	subTiers = 4
)

// late reports whether a request dispatched now would miss its latency objective.
func (r *Request) late(now time.Time, start time.Duration) bool {
	return !now.Add(start).Before(r.FirstByteDue)
}

// maxResumptionWait is how long a request that continues a stream waits. Callers give a stream up after some seconds without an event.
const maxResumptionWait = 2 * time.Second

// selective reports whether there may be capacity that the request can't use: it leaves a reserve for requests that can
// be on time, needs an endpoint that is fast enough or has enough cache memory, excludes some endpoints, or is bound to a version.
func (r *Request) selective(now time.Time, start time.Duration, reserves bool) bool {
	return r.late(now, start) || reserves || r.AnswerTokens >= longAnswerTokens ||
		r.PromptTokens >= longPromptTokens || len(r.Excluded) > 0 || r.Version != ""
}

// maxWait is how long the request may stay in the queue.
func (r *Request) maxWait(now time.Time) time.Duration {
	switch {
	case r.Urgent:
		return r.Due.Sub(now)
	case r.Resumption:
		return min(maxResumptionWait, r.Due.Sub(now))
	}
	return min(max(r.FirstByteDue.Sub(now), 0)+maxLateWait, r.Due.Sub(now))
}

// retryAfter is the delay after which a refused caller is asked to retry. It is up to a third of the remaining time, the
// longest that callers wait when asked to: a later retry is more likely to come after the overload, and an answer on
// time is no longer possible anyway.
func (r *Request) retryAfter(now time.Time) time.Duration {
	most := min(r.Due.Sub(now)/3, maxRetryAfter)
	return max(most-rand.N(max(most/4, 1)), minRetryAfter)
}
