// Package dispatch is the only code that sends requests to endpoints. It sends
// each request at most once: a run needs a Permit, which the ledger's
// acknowledged commit alone brings about and which can be spent once. A broken
// stream is resumed at the same engine; nothing is ever sent to a second
// endpoint.
package dispatch

import "errors"

var (
	// ErrPermitUsed means that a permit was used a second time; nothing was sent.
	ErrPermitUsed = errors.New("dispatch: permit already spent")
	// ErrNoAdapter means that the endpoint is not known here; nothing was sent.
	ErrNoAdapter = errors.New("dispatch: no adapter for endpoint")

	// The causes with which a run's context is cancelled, see context.WithCancelCause.

	// ErrPreempted: the place is taken back for a higher tier.
	ErrPreempted = errors.New("dispatch: place taken back for a higher tier")
	// ErrCancelled: the caller cancelled the request.
	ErrCancelled = errors.New("dispatch: cancelled by the caller")
	// ErrCallerGone: the caller has been away for longer than the grace time.
	ErrCallerGone = errors.New("dispatch: caller gone")
	// ErrOvertaken: another node has taken the request over and reads its stream,
	// which must not be cancelled at the engine.
	ErrOvertaken = errors.New("dispatch: taken over by another node")
	// ErrStopped: the node stops without a drain.
	ErrStopped = errors.New("dispatch: node stopped")
	// ErrRunTimeout: the request has run for longer than any may.
	ErrRunTimeout = errors.New("dispatch: request ran too long")

	errStalled = errors.New("dispatch: endpoint stalled")
)
