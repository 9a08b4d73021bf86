// Package routing chooses the endpoint that serves an ask, at the owner of the
// ask's pool. A decision is a pipeline of small pure steps: Filters say which
// candidates may serve the ask, Scorers estimate what each would cost in time,
// a Picker takes the cheapest. What the steps read is learned from the owner's
// own grants and their results: speeds, prompt prefixes held, stragglers and
// failures. Nothing learned leaves the process, and losing it costs time only.
//
// See docs/design/routing.md.
package routing
