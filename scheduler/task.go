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
// holds the answer, or a copy of what another node has of it.
type task struct {
	scheduler *Scheduler
	request   Request
	buffer    *answer.Buffer
	started   time.Time

	ctx  context.Context
	stop context.CancelCauseFunc

	phase atomic.Uint32
	// leaving is set once the task is being cancelled, copying while another
	// attempt's answer is followed.
	leaving atomic.Bool
	copying atomic.Bool

	// claimed is the claim under which the request may have been dispatched.
	claimed atomic.Uint64

	// attempts counts claims tried again, lost is since when a holder is out of reach.
	attempts int
	lost     time.Time
}

func newTask(s *Scheduler, request Request) *task {
	ctx, stop := context.WithCancelCause(s.ctx)
	bound := s.options.AnswerBytes
	if request.Call != nil {
		bound = s.options.ResponseBytes
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

func (t *task) phaseNow() Phase { return Phase(t.phase.Load()) }

func (t *task) tier() domain.Tier { return t.request.Organisation.Rank }

// lessThan tells which of two tasks is worth less to keep.
func (t *task) lessThan(o *task) bool {
	if t.tier() != o.tier() {
		return o.tier().Above(t.tier())
	}
	return t.phase.Load() < o.phase.Load()
}

func (t *task) handle() *Handle { return newHandle(t.buffer) }

// join gives another attempt of the same request the same answer.
func (t *task) join(request Request) *Handle {
	if request.Fingerprint != t.request.Fingerprint {
		return endedHandle(claimEnd(request, ledger.ErrFingerprintMismatch))
	}
	return t.handle()
}

// cancel ends the task's work with a cause, unless it has ended.
func (t *task) cancel(cause error) {
	t.leaving.Store(true)
	t.stop(cause)
}

func (t *task) setPhase(phase Phase) { t.phase.Store(uint32(phase)) }

// run does the task's work until the answer has ended and been delivered.
func (t *task) run() {
	defer t.scheduler.work.Done()
	defer t.scheduler.active.Add(-1)
	defer t.stop(nil)
	t.watchCaller(t.callerGone)
	for t.attempt() == stepAgain {
	}
	t.buffer.Audience.Watch(nil, nil)
	t.linger()
	t.scheduler.remove(t)
}

// copyGrace is how long another attempt's answer is followed without a caller: it
// can be read again.
const copyGrace = 2 * time.Second

// grace is how long the caller may be away: not at all once it has got all, or
// if it can't come back.
func (t *task) grace() time.Duration {
	switch {
	case t.request.NoReturn, t.buffer.EndRead():
		return 0
	case t.copying.Load():
		return min(copyGrace, t.scheduler.options.Grace)
	}
	return t.scheduler.options.Grace
}

// callerGone cancels the task. A dispatched request is cancelled at the engine only
// while the key's home confirms that this node still holds it: after a pause
// another node may have taken it over.
func (t *task) callerGone() {
	id := ledger.ClaimID(t.claimed.Load())
	if id == 0 || t.phaseNow() != PhaseRunning || t.copying.Load() {
		t.cancel(dispatch.ErrCallerGone)
		return
	}
	_, claim, err := t.scheduler.lookup(t.ctx, t.request.Key)
	switch {
	case !t.buffer.Audience.Empty():
		t.watchCaller(t.callerGone)
	case err == nil && claim.ID == id:
		t.cancel(dispatch.ErrCallerGone)
	case err == nil:
		t.cancel(dispatch.ErrOvertaken)
	case t.ctx.Err() == nil:
		t.watchCaller(t.callerGone)
	}
}

func (t *task) watchCaller(gone func()) { t.buffer.Audience.Watch(t.grace, gone) }

// linger keeps an ended answer at hand until its caller has got it or has been
// gone for the grace time, and then hands it to the cache.
func (t *task) linger() {
	answers := t.scheduler.parts.Answers
	end, _ := t.buffer.Ended()
	if !t.kept(end) {
		return
	}
	delivered := make(chan struct{})
	t.watchCaller(func() { close(delivered) })
	select {
	case <-delivered:
	case <-t.scheduler.ctx.Done():
		t.buffer.Audience.Watch(nil, nil)
	}
	if end.Complete() {
		answers.Finish(t.request.Key, t.buffer)
		return
	}
	answers.Forget(t.request.Key, t.buffer)
}

// kept tells whether later attempts may be given this end. One that was not run
// or not settled must be claimed anew.
func (t *task) kept(end answer.End) bool {
	return end.Complete() || end.Outcome == domain.OutcomeRan
}

// end tells the readers how the answer ended. A later attempt must not find an
// end that it has to claim anew, so that is forgotten first.
func (t *task) end(end answer.End) step {
	if !t.kept(end) {
		t.scheduler.remove(t)
		t.scheduler.parts.Answers.Forget(t.request.Key, t.buffer)
	}
	t.setPhase(PhaseEnded)
	t.buffer.End(end)
	t.scheduler.metrics.ended(t.tier(), end)
	return stepDone
}

// attempt claims the key and does what the home says.
func (t *task) attempt() step {
	t.setPhase(PhaseWaiting)
	claim, err := t.claim()
	if err != nil {
		return t.end(t.claimFailed(err))
	}
	switch claim.Verdict {
	case ledger.VerdictGranted:
		return t.serve(claim)
	case ledger.VerdictAttached, ledger.VerdictFinished:
		return t.copyFrom(claim)
	case ledger.VerdictTakeover:
		return t.takeOver(claim)
	case ledger.VerdictRan:
		return t.end(ran(answer.CodeNotHeld, "the request was run and its answer is no longer held"))
	default:
		return t.end(unknown(answer.CodeHistoryUnknown, "the key's home gave no verdict", retryLater))
	}
}

func (t *task) claim() (ledger.Claim, error) {
	ctx, cancel := context.WithTimeout(t.ctx, t.scheduler.options.ClaimTimeout)
	defer cancel()
	return t.scheduler.parts.Ledger.Claim(ctx, t.request.Key, t.request.Fingerprint)
}

// claimFailed is the end after a failed claim. Part of an answer that came from
// another node says that the request ran.
func (t *task) claimFailed(err error) answer.End {
	if t.buffer.Next() > 0 && !errors.Is(err, ledger.ErrFingerprintMismatch) {
		return unknown(answer.CodeHolderUnreachable, "the node that holds the answer can't be reached", retryLater)
	}
	return claimEnd(t.request, err)
}

// again allows another claim, up to the bound; beyond it the task ends.
func (t *task) again(end answer.End) step {
	t.attempts++
	if t.attempts >= t.scheduler.options.Attempts {
		return t.end(end)
	}
	return stepAgain
}
