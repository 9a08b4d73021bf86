// Package scheduler takes one request through the parts: claim, limits, a place
// at an endpoint, commit, dispatch, finish. Each request is a task with one
// goroutine of its own, which goes on when the caller's connection breaks, so
// that the caller can come back for the whole answer at any node.
//
// What a caller is told depends on the step at which things went wrong:
//
//	step      failure                              outcome
//	claim     key reused, too many keys            not_run
//	claim     home unreachable or can't tell       unknown
//	limits    over a limit                         not_run, once released
//	acquire   shed, late, no endpoint, cancelled   not_run, once released
//	commit    any error                            not_run, once released
//	dispatch  not one byte sent                    not_run, once released
//	dispatch  anything else                        ran
//	attached  holder unreachable                   unknown
//	attached  answer no longer held                ran
//
// "Once released" means after the key's home has acknowledged ledger.Release;
// until it does the outcome is unknown.
package scheduler
