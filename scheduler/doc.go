// Package scheduler runs requests: claim the key, check the organisation's limits,
// acquire a slot at an endpoint, commit the claim, dispatch, and record the finish.
// Each request is a task with its own goroutine, which keeps running when the
// caller's connection breaks, so that the caller can read the complete answer later
// at any node.
//
// The outcome reported to the caller depends on the step that failed:
//
//	step      failure                              outcome
//	claim     key reused, too many keys            not_run
//	claim     home unreachable or undecided        unknown
//	limits    over a limit                         not_run, once released
//	acquire   shed, late, no endpoint, cancelled   not_run, once released
//	commit    any error                            not_run, once released
//	dispatch  no byte sent                         not_run, once released
//	dispatch  anything else                        ran
//	attached  holder unreachable                   unknown
//	attached  answer no longer held                ran
//
// "Once released" means after the key's home has acknowledged ledger.Release; until
// then the outcome is unknown.
package scheduler
