package capacity

import (
	"time"

	"hawthornrill.example/hawthornrill/queue"
)

// entry is an ask that waits at its owner.
type entry struct {
	item    queue.Item[*entry]
	id      askID
	holder  *holder
	pool    *pool
	ask     Request
	waiting QueuedRequest
	// forecast is the least that any endpoint looked at would need.
	forecast Forecast
	// visiting is true for an ask from another data centre.
	visiting bool
	// seeking is true while the client asks other data centres.
	seeking  bool
	soughtAt time.Time
	// soughtLate is true if it does so for the deadline.
	soughtLate bool
	// refused is why the ask was refused, once it is.
	refused reason
	// aimLost is true once nothing can be done for the first token's aim.
	aimLost bool
	// victim is the grant revoked to make room, while it is not released.
	victim *grant
	// missRound is the search in which the ask could not be placed.
	missRound uint64
}

// tokens is the room that the ask takes inside an engine.
func (e *entry) tokens() int { return e.ask.PromptTokens + e.ask.AnswerTokens }

// aims reports whether the ask has an aim for its first token that may be met yet.
func (e *entry) aims() bool { return !e.aimLost && !e.waiting.FirstTokenDue.IsZero() }

// covered reports whether a place revoked for the ask is still on its way.
func (e *entry) covered(now time.Time, patience time.Duration) bool {
	return e.victim != nil && now.Sub(e.victim.revokedAt) < patience
}
