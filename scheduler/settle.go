package scheduler

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"hawthornrill.example/hawthornrill/answer"
	"hawthornrill.example/hawthornrill/ledger"
)

// settleRetryDelay is the initial delay between retries of an unconfirmed message to
// a key's home.
const settleRetryDelay = 500 * time.Millisecond

// settleContext outlives the task's cancellation, so that an exchange started with the
// key's home can complete.
func (t *task) settleContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(t.ctx), t.scheduler.options.SettleTimeout)
}

// releaseAndEnd releases the claim and ends the task with the given end, or with an
// unknown outcome if the home does not confirm the release.
func (t *task) releaseAndEnd(claim ledger.Claim, end answer.End) step {
	if !t.release(claim) {
		return t.end(unsettledEnd())
	}
	return t.end(end)
}

func unsettledEnd() answer.End {
	return unknownEnd(answer.CodeUnsettled, "the request was given up, but the key's home did not confirm it", longRetryDelay)
}

// release reports whether the home confirmed the release. If it did not, the release
// is retried in the background, so that a later attempt need not wait until the claim
// expires.
func (t *task) release(claim ledger.Claim) bool {
	ctx, cancel := t.settleContext()
	defer cancel()
	l := t.scheduler.deps.Ledger
	err := l.Release(ctx, claim)
	if err == nil {
		return true
	}
	if !errors.Is(err, ledger.ErrRevoked) {
		t.scheduler.settleLater(func(ctx context.Context) error { return l.Release(ctx, claim) })
	}
	return false
}

// finish ends the answer and records the result of a dispatched request at the key's
// home. The caller does not wait for the home.
func (t *task) finish(claim ledger.Claim, end answer.End) step {
	t.end(end)
	ctx, cancel := t.settleContext()
	defer cancel()
	l := t.scheduler.deps.Ledger
	if err := l.Finish(ctx, claim, end.Complete()); err != nil && !errors.Is(err, ledger.ErrRevoked) {
		t.scheduler.settleLater(func(ctx context.Context) error { return l.Finish(ctx, claim, end.Complete()) })
	}
	return stepDone
}

// settleLater retries a message to a key's home until it is confirmed, SettleWindow
// has passed or the scheduler stops. Release and Finish are idempotent.
func (s *Scheduler) settleLater(settle func(context.Context) error) {
	s.work.Add(1)
	s.unsettled.Add(1)
	go func() {
		defer s.work.Done()
		defer s.unsettled.Add(-1)
		pauses := backoff.NewExponentialBackOff()
		pauses.InitialInterval = settleRetryDelay
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
