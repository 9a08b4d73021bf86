package ledger

import (
	"context"
	"errors"
	"fmt"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/pacing"
	"hawthornrill.example/hawthornrill/peer"
)

// result is what every reply of a home tells first.
type result interface {
	result() (status, uint64)
}

func (c claimReply) result() (status, uint64)  { return c.Status, c.Epoch }
func (s statusReply) result() (status, uint64) { return s.Status, s.Epoch }
func (l lookupReply) result() (status, uint64) { return l.Status, l.Epoch }

// exchange is one kind of message to a home and how it is served when this life is
// the home.
type exchange[Request any, Reply result] struct {
	method peer.Method
	// request is made anew for each try.
	request func(route) Request
	serve   func(context.Context, domain.Member, Request) Reply
}

// run sends the message to the key's home until the home gives an answer that
// stands, for no longer than Options.CallTimeout. All messages are idempotent.
// The error wraps ErrUnknown.
func run[Request any, Reply result](ctx context.Context, r *Replica, t target, x exchange[Request, Reply]) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, r.options.CallTimeout)
	defer cancel()
	var none Reply
	last := errNoAnswer
	for ctx.Err() == nil {
		at, err := r.route(ctx, t)
		if err != nil {
			return none, err
		}
		reply, err := try(ctx, r, at, x)
		if err == nil {
			st, epoch := reply.result()
			if st != statusStale && st != statusRecovering && st != statusUnheld {
				return reply, nil
			}
			err = retryErrors[st]
			r.refresh(ctx, t, at, epoch)
		} else {
			r.refreshLost(ctx, t, at)
		}
		last = err
		r.meters.retries.Inc()
		pacing.Sleep(ctx, r.options.RetryDelay)
	}
	return none, fmt.Errorf("%w: %w", ErrUnknown, last)
}

// try sends the message once.
func try[Request any, Reply result](ctx context.Context, r *Replica, at route, x exchange[Request, Reply]) (Reply, error) {
	if at.home.SameIncarnation(r.self) {
		return x.serve(ctx, r.self, x.request(at)), nil
	}
	ctx, cancel := context.WithTimeout(ctx, r.options.TryTimeout)
	defer cancel()
	return peer.Call[Request, Reply](ctx, r.transport, at.home, x.method, x.request(at))
}

var (
	errNoAnswer   = errors.New("no answer in time")
	errStale      = errors.New("the ledger table is changing")
	errRecovering = errors.New("the home is collecting records")
	errUnheld     = errors.New("the home reaches too few members")
	errCopyLost   = errors.New("this life is no longer the same member")
)

// retryErrors are the reasons why a message is sent again.
var retryErrors = map[status]error{
	statusStale:      errStale,
	statusRecovering: errRecovering,
	statusUnheld:     errUnheld,
}

// statusErrors are what callers are told.
var statusErrors = map[status]error{
	statusUnknown:     ErrUnknown,
	statusFingerprint: ErrFingerprint,
	statusFull:        ErrFull,
	statusRevoked:     ErrRevoked,
	statusNotFound:    ErrNotFound,
}

// statusError returns the error of a status, nil for statusOK.
func statusError(st status) error {
	if st == statusOK {
		return nil
	}
	if err, ok := statusErrors[st]; ok {
		return err
	}
	return fmt.Errorf("%w: status %d", ErrUnknown, st)
}
