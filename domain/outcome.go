package domain

// Outcome is reported to a caller about its request when there is no answer.
type Outcome string

const (
	// OutcomeNotRun guarantees that the request was not dispatched to any endpoint
	// and that this attempt will not dispatch it.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that no reachable node knows whether the request was
	// run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeRan means that the request was dispatched to an endpoint. The answer
	// may be incomplete or no longer stored.
	OutcomeRan Outcome = "ran"
)
