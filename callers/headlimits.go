package callers

import (
	"time"

	"hawthornrill.example/hawthornrill/bytebudget"
)

// HeadRefusals are the responses, in their form on the wire, to requests that are refused before their head has been read.
type HeadRefusals struct {
	// TooLong is for a head over the limit, NoRoom for one for which there is no memory, TooSlow for one that did not arrive in time.
	TooLong, NoRoom, TooSlow []byte
}

// HeadLimits bounds what callers make the node hold before their requests are dispatched. Its functions are called for each request
// and must not block.
type HeadLimits struct {
	// Budget bounds the requests in progress and their heads as parsed; nil for no bound.
	Budget *bytebudget.Budget
	// MaxBytes returns the largest size of a head in bytes, Timeout the time in which it must arrive.
	MaxBytes func() int
	Timeout  func() time.Duration
	Refusals HeadRefusals
}

// NewHeadBudget returns a budget of limit bytes for requests in progress and their heads.
func NewHeadBudget(limit int64) *bytebudget.Budget {
	return bytebudget.New(limit, requestCost+smallHeadCost)
}
