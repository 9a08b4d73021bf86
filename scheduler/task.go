package scheduler

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"hawthornrill.example/hawthornrill/answer"
	"hawthornrill.example/hawthornrill/dispatch"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/ledger"
)

// task is one request in progress on this node, run by one goroutine. Its buffer
// holds the answer, or a copy of the part received from another node.
type task struct {
	scheduler *Scheduler
	request   Request
	buffer    *answer.Buffer
	started   time.Time

	ctx  context.Context
	stop context.CancelCauseFunc

	phase atomic.Uint32
	// cancelling is set when the task is cancelled, following while it copies another
	// attempt's answer.
	cancelling atomic.Bool
	following  atomic.Bool

	// claimID is the claim under which the request may have been dispatched.
	claimID atomic.Uint64

	// attempts counts repeated claims. unreachableSince is when the holder became
	// unreachable; zero if it is reachable.
	attempts         int
	unreachableSince time.Time
}

func newTask(s *Scheduler, request Request) *task {
	ctx, stop := context.WithCancelCause(s.ctx)
	bound := s.options.AnswerBufferBytes
	if request.Call != nil {
		bound = s.options.ResponseBufferBytes
	}
	return &task{
		scheduler: s,
		request:   request,
		buffer:    answer.NewBuffer(bound),
		started:   time.Now(),
		ctx:       ctx,
		stop:      stop,
	}
}

func (t *task) currentPhase() Phase { return Phase(t.phase.Load()) }

func (t *task) tier() domain.Tier { return t.request.Organisation.Rank }

// evictBefore reports whether t is to be cancelled in preference to o.
func (t *task) evictBefore(o *task) bool {
	if t.tier() != o.tier() {
		return o.tier().Above(t.tier())
	}
	return t.phase.Load() < o.phase.Load()
}

func (t *task) handle() *Handle { return newHandle(t.buffer) }

// join returns a handle to this task's answer for another attempt of the same
// request.
func (t *task) join(request Request) *Handle {
	if request.Fingerprint != t.request.Fingerprint {
		return endedHandle(claimEnd(request, ledger.ErrFingerprintMismatch))
	}
	return t.handle()
}

// cancel cancels the task with a cause. It has no effect on an answer that has ended.
func (t *task) cancel(cause error) {
	t.cancelling.Store(true)
	t.stop(cause)
}

func (t *task) setPhase(phase Phase) { t.phase.Store(uint32(phase)) }

// run executes the task until the answer has ended and been delivered.
func (t *task) run() {
	defer t.scheduler.work.Done()
	defer t.scheduler.active.Add(-1)
	defer t.stop(nil)
	t.watchReaders(t.onDisconnect)
	for t.attempt() == stepRetry {
	}
	t.buffer.Readers.OnIdle(nil, nil)
	t.awaitDelivery()
	t.scheduler.remove(t)
}

// followGrace is how long another attempt's answer is followed without a caller. It
// is short because the answer can be read from the holder again.
const followGrace = 2 * time.Second

// grace is how long the caller may be disconnected. It is zero once the caller has
// read the complete answer, or if it can't reconnect.
func (t *task) grace() time.Duration {
	switch {
	case t.request.CancelOnDisconnect, t.buffer.EndDelivered():
		return 0
	case t.following.Load():
		return min(followGrace, t.scheduler.options.DisconnectGrace)
	}
	return t.scheduler.options.DisconnectGrace
}

// onDisconnect cancels the task. A dispatched request is cancelled at the engine only
// if the key's home confirms that this node still holds the claim: after a pause of
// this node another one may have taken the request over.
func (t *task) onDisconnect() {
	id := ledger.ClaimID(t.claimID.Load())
	if id == 0 || t.currentPhase() != PhaseRunning || t.following.Load() {
		t.cancel(dispatch.ErrCallerGone)
		return
	}
	_, claim, err := t.scheduler.lookup(t.ctx, t.request.Key)
	switch {
	case !t.buffer.Readers.Idle():
		t.watchReaders(t.onDisconnect)
	case err == nil && claim.ID == id:
		t.cancel(dispatch.ErrCallerGone)
	case err == nil:
		t.cancel(dispatch.ErrOvertaken)
	case t.ctx.Err() == nil:
		t.watchReaders(t.onDisconnect)
	}
}

func (t *task) watchReaders(onEmpty func()) { t.buffer.Readers.OnIdle(t.grace, onEmpty) }

// awaitDelivery keeps an ended answer available until its caller has read it or has
// been disconnected for the grace period, and then passes it to the cache.
func (t *task) awaitDelivery() {
	answers := t.scheduler.deps.Answers
	end, _ := t.buffer.Ended()
	if !t.retainable(end) {
		return
	}
	delivered := make(chan struct{})
	t.watchReaders(func() { close(delivered) })
	select {
	case <-delivered:
	case <-t.scheduler.ctx.Done():
		t.buffer.Readers.OnIdle(nil, nil)
	}
	if end.Complete() {
		answers.Finish(t.request.Key, t.buffer)
		return
	}
	answers.Remove(t.request.Key, t.buffer)
}

// retainable reports whether later attempts may receive this end. After not_run or an
// unsettled outcome the key must be claimed again.
func (t *task) retainable(end answer.End) bool {
	return end.Complete() || end.Outcome == domain.OutcomeRan
}

// end publishes the answer's end to its readers. An end that is not retainable is
// first removed from the index and the registry, so that a later attempt does not
// find it.
func (t *task) end(end answer.End) step {
	if !t.retainable(end) {
		t.scheduler.remove(t)
		t.scheduler.deps.Answers.Remove(t.request.Key, t.buffer)
	}
	t.setPhase(PhaseEnded)
	t.buffer.End(end)
	t.scheduler.metrics.recordEnd(t.tier(), end)
	return stepDone
}

// attempt claims the key and acts on the home's verdict.
func (t *task) attempt() step {
	t.setPhase(PhaseWaiting)
	claim, err := t.claim()
	if err != nil {
		return t.end(t.claimFailed(err))
	}
	switch claim.Verdict {
	case ledger.VerdictGranted:
		return t.runClaimed(claim)
	case ledger.VerdictAttached, ledger.VerdictFinished:
		return t.followHolder(claim)
	case ledger.VerdictTakeover:
		return t.takeOver(claim)
	case ledger.VerdictRan:
		return t.end(ranEnd(answer.CodeNotHeld, "the request was run and its answer is no longer held"))
	default:
		return t.end(unknownEnd(answer.CodeHistoryUnknown, "the key's home gave no verdict", longRetryDelay))
	}
}

func (t *task) claim() (ledger.Claim, error) {
	ctx, cancel := context.WithTimeout(t.ctx, t.scheduler.options.ClaimTimeout)
	defer cancel()
	return t.scheduler.deps.Ledger.Claim(ctx, t.request.Key, t.request.Fingerprint)
}

// claimFailed is the end after a failed claim. If part of the answer was received
// from another node, the request ran there.
func (t *task) claimFailed(err error) answer.End {
	if t.buffer.Next() > 0 && !errors.Is(err, ledger.ErrFingerprintMismatch) {
		return unknownEnd(answer.CodeHolderUnreachable, "the node that holds the answer can't be reached", longRetryDelay)
	}
	return claimEnd(t.request, err)
}

// retryClaim allows another claim, up to MaxAttempts; after that the task ends.
func (t *task) retryClaim(end answer.End) step {
	t.attempts++
	if t.attempts >= t.scheduler.options.MaxAttempts {
		return t.end(end)
	}
	return stepRetry
}
