package domain

// Outcome is what a caller is told about its request when there is no answer.
type Outcome string

const (
	// OutcomeNotRun is a promise: the request was not dispatched to any endpoint
	// and this attempt will not be.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that nobody reachable can tell.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeRan means that the request was dispatched to an endpoint. The answer
	// may be incomplete or no longer held.
	OutcomeRan Outcome = "ran"
)
