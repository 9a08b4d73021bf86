package scheduler

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"hawthornrill.example/hawthornrill/answer"
	"hawthornrill.example/hawthornrill/ledger"
)

// settleRetry is the first pause before an unconfirmed message to a key's home
// is repeated.
const settleRetry = 500 * time.Millisecond

// settleContext outlives the task's cancellation: what has been begun at the
// key's home is brought to its end.
func (t *task) settleContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(t.ctx), t.scheduler.options.SettleTimeout)
}

// refuse gives the claim up and tells the caller the end given; if the home does
// not confirm it, the outcome is unknown instead.
func (t *task) refuse(claim ledger.Claim, end answer.End) step {
	if !t.release(claim) {
		return t.end(unsettled())
	}
	return t.end(end)
}

func unsettled() answer.End {
	return unknown(answer.CodeUnsettled, "the request was given up, but the key's home did not confirm it", retryLater)
}

// release reports whether the home confirmed. If not, it is told again in the
// background, so that a later attempt need not wait for the claim to lapse.
func (t *task) release(claim ledger.Claim) bool {
	ctx, cancel := t.settleContext()
	defer cancel()
	l := t.scheduler.parts.Ledger
	err := l.Release(ctx, claim)
	if err == nil {
		return true
	}
	if !errors.Is(err, ledger.ErrRevoked) {
		t.scheduler.settleLater(func(ctx context.Context) error { return l.Release(ctx, claim) })
	}
	return false
}

// finish records how a dispatched request ended and tells the caller, who does
// not wait for the home.
func (t *task) finish(claim ledger.Claim, end answer.End) step {
	t.end(end)
	ctx, cancel := t.settleContext()
	defer cancel()
	l := t.scheduler.parts.Ledger
	if err := l.Finish(ctx, claim, end.Complete()); err != nil && !errors.Is(err, ledger.ErrRevoked) {
		t.scheduler.settleLater(func(ctx context.Context) error { return l.Finish(ctx, claim, end.Complete()) })
	}
	return stepDone
}

// settleLater repeats a message to a key's home until it is confirmed, the
// window has passed or the scheduler stops. Both messages are idempotent.
func (s *Scheduler) settleLater(settle func(context.Context) error) {
	s.work.Add(1)
	s.unsettled.Add(1)
	go func() {
		defer s.work.Done()
		defer s.unsettled.Add(-1)
		pauses := backoff.NewExponentialBackOff()
		pauses.InitialInterval = settleRetry
		_, _ = backoff.Retry(s.ctx, func() (struct{}, error) {
			ctx, cancel := context.WithTimeout(s.ctx, s.options.SettleTimeout)
			defer cancel()
			err := settle(ctx)
			if errors.Is(err, ledger.ErrRevoked) {
				return struct{}{}, backoff.Permanent(err)
			}
			return struct{}{}, err
		}, backoff.WithBackOff(pauses), backoff.WithMaxElapsedTime(s.options.SettleWindow))
	}()
}
