package capacity

import (
	"time"

	"hawthornrill.example/hawthornrill/queue"
)

// entry is a request queued at its owner.
type entry struct {
	item    queue.Item[*entry]
	id      requestID
	holder  *holder
	pool    *pool
	request Request
	queued  QueuedRequest
	// forecast is the least time that any sampled endpoint would need.
	forecast Forecast
	// remote is true for a request from another data centre.
	remote bool
	// searching is true while the client tries other data centres.
	searching  bool
	searchedAt time.Time
	// deadlineAtRisk is true if it does so because of the deadline.
	deadlineAtRisk bool
	// refusal is the reason of the refusal, once the request is refused.
	refusal reason
	// firstTokenMissed is true once the first-token target can no longer be met.
	firstTokenMissed bool
	// victim is the grant revoked to make room, until it is released.
	victim *grant
	// skipRound is the last scheduling round in which the request could not be placed.
	skipRound uint64
}

// tokens is the number of tokens that the request reserves at an endpoint.
func (e *entry) tokens() int { return e.request.PromptTokens + e.request.AnswerTokens }

// hasFirstTokenTarget reports whether the request has a first-token target that can
// still be met.
func (e *entry) hasFirstTokenTarget() bool {
	return !e.firstTokenMissed && !e.queued.FirstTokenDue.IsZero()
}

// revocationPending reports whether a slot revoked for the request is still expected to
// be released.
func (e *entry) revocationPending(now time.Time, timeout time.Duration) bool {
	return e.victim != nil && now.Sub(e.victim.revokedAt) < timeout
}
