// Package routing selects the endpoint that serves a request. It runs at the node that owns the
// request's pool. A decision is a pipeline of small pure steps: Filters exclude candidates, Scorers
// estimate the completion time on each remaining candidate, and a Picker selects the one with the
// lowest cost. The steps use models learned from the owner's own grants and their results: speed,
// cached prompt prefixes, stragglers and failures. The learned state is never replicated; losing it
// affects latency only, not correctness.
//
// See docs/design/routing.md.
package routing
