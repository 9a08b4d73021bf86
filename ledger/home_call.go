package ledger

import (
	"context"
	"errors"
	"fmt"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/pacing"
	"hawthornrill.example/hawthornrill/peer"
)

// homeReply is implemented by every reply of a home.
type homeReply interface {
	result() (status, uint64)
}

func (c claimReply) result() (status, uint64)  { return c.Status, c.Epoch }
func (s statusReply) result() (status, uint64) { return s.Status, s.Epoch }
func (l lookupReply) result() (status, uint64) { return l.Status, l.Epoch }

// homeCall is one kind of call to a home, with the function that serves it when this
// incarnation is the home.
type homeCall[Request any, Reply homeReply] struct {
	method peer.Method
	// request is called again for each try.
	request func(route) Request
	serve   func(context.Context, domain.Member, Request) Reply
}

// callHome calls the key's home until it gives a final answer, for no longer than
// Options.CallTimeout. All calls are idempotent. The error wraps ErrUnknown.
func callHome[Request any, Reply homeReply](ctx context.Context, r *Replica, t target, call homeCall[Request, Reply]) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, r.options.CallTimeout)
	defer cancel()
	var none Reply
	last := errNoAnswer
	for ctx.Err() == nil {
		at, err := r.route(ctx, t)
		if err != nil {
			return none, err
		}
		reply, err := callOnce(ctx, r, at, call)
		if err == nil {
			st, epoch := reply.result()
			if st != statusStale && st != statusRecovering && st != statusTooFewMembers {
				return reply, nil
			}
			err = retryErrors[st]
			r.refreshTable(ctx, t, at, epoch)
		} else {
			r.refreshAfterFailure(ctx, t, at)
		}
		last = err
		r.meters.retries.Inc()
		pacing.Sleep(ctx, r.options.RetryDelay)
	}
	return none, fmt.Errorf("%w: %w", ErrUnknown, last)
}

// callOnce makes a single try of the call.
func callOnce[Request any, Reply homeReply](ctx context.Context, r *Replica, at route, call homeCall[Request, Reply]) (Reply, error) {
	if at.home.SameIncarnation(r.self) {
		return call.serve(ctx, r.self, call.request(at)), nil
	}
	ctx, cancel := context.WithTimeout(ctx, r.options.TryTimeout)
	defer cancel()
	return peer.Call[Request, Reply](ctx, r.transport, at.home, call.method, call.request(at))
}

var (
	errNoAnswer      = errors.New("no answer from the key's home within the call timeout")
	errStale         = errors.New("epoch differs from that of the key's home")
	errRecovering    = errors.New("the home is still collecting records")
	errTooFewMembers = errors.New("the home reaches too few members")
	errCopyDropped   = errors.New("local copy of the claim dropped during the commit")
)

// retryErrors maps the statuses that are retried to the reason.
var retryErrors = map[status]error{
	statusStale:         errStale,
	statusRecovering:    errRecovering,
	statusTooFewMembers: errTooFewMembers,
}

// statusErrors maps statuses to the errors returned to callers.
var statusErrors = map[status]error{
	statusUnknown:     ErrUnknown,
	statusFingerprint: ErrFingerprintMismatch,
	statusFull:        ErrFull,
	statusRevoked:     ErrRevoked,
	statusNotFound:    ErrNotFound,
}

// statusError returns the error for a status, nil for statusOK.
func statusError(st status) error {
	if st == statusOK {
		return nil
	}
	if err, ok := statusErrors[st]; ok {
		return err
	}
	return fmt.Errorf("%w: unexpected status %d", ErrUnknown, st)
}
