// Package dispatch is the only code that sends requests to endpoints. It sends each request at most
// once: a run requires a Permit, which is issued only after the ledger has acknowledged the commit
// and which can be used only once. A broken stream is resumed at the same engine; a request is
// never sent to a second endpoint.
package dispatch

import "errors"

var (
	// ErrPermitUsed means that a permit was used a second time; nothing was sent.
	ErrPermitUsed = errors.New("dispatch: permit already used")
	// ErrNoAdapter means that the endpoint is not known to this node; nothing was sent.
	ErrNoAdapter = errors.New("dispatch: no adapter for endpoint")

	// The following are causes for cancelling a run's context; see context.WithCancelCause.

	// ErrPreempted: the slot is reclaimed for a request of a higher tier.
	ErrPreempted = errors.New("dispatch: slot reclaimed for a request of a higher tier")
	// ErrCancelled: the caller cancelled the request.
	ErrCancelled = errors.New("dispatch: cancelled by the caller")
	// ErrCallerGone: the caller has been disconnected for longer than the grace period.
	ErrCallerGone = errors.New("dispatch: caller disconnected for longer than the grace period")
	// ErrOvertaken: another node has taken over the request and reads its stream, which must not be
	// cancelled at the engine.
	ErrOvertaken = errors.New("dispatch: taken over by another node")
	// ErrStopped: the node stops without draining.
	ErrStopped = errors.New("dispatch: node stopped")
	// ErrRunTimeout: the request has exceeded the maximum run time.
	ErrRunTimeout = errors.New("dispatch: request exceeded the maximum run time")

	errStalled = errors.New("dispatch: endpoint stalled")
)
