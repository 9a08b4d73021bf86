package scheduler

import (
	"context"
	"errors"
	"fmt"
	"time"

	"hawthornrill.example/hawthornrill/answer"
	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/defaults"
	"hawthornrill.example/hawthornrill/dispatch"
	"hawthornrill.example/hawthornrill/ledger"
)

// runClaimed runs a request whose claim was granted to this attempt.
func (t *task) runClaimed(claim ledger.Claim) step {
	t.claimID.Store(uint64(claim.ID))
	if t.buffer.Readers.Idle() {
		// A later attempt may have reported not_run to the caller before this claim
		// was granted.
		return t.releaseAndEnd(claim, causeEnd(dispatch.ErrCallerGone))
	}
	if t.scheduler.draining.Load() {
		return t.releaseAndEnd(claim, notRunEnd(answer.CodeDraining, "the node is leaving", shortRetryDelay))
	}
	t.scheduler.deps.Answers.Open(t.request.Key, t.buffer)
	request := &t.request
	permit, err := t.scheduler.deps.Limiter.Admit(request.Organisation, request.PromptTokens, t.expectedTokens())
	if err != nil {
		return t.releaseAndEnd(claim, limitEnd(err))
	}
	grant, err := t.acquire()
	if err != nil {
		permit.Release(0, 0)
		return t.releaseAndEnd(claim, acquireEnd(err))
	}
	return t.runWithGrant(claim, permit, grant)
}

// acquire waits for a slot until the request's deadline. A slot that a stopped task has released may be granted to one whose
// own context has not ended yet; it is given back.
func (t *task) acquire() (capacity.Grant, error) {
	remaining := t.timeLeft()
	ctx, cancel := context.WithTimeoutCause(t.ctx, remaining, errDeadline)
	defer cancel()
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	grant, err := t.scheduler.deps.Capacity.Acquire(ctx, t.capacityRequest(remaining))
	if err != nil && ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	if err == nil && t.scheduler.ctx.Err() != nil {
		grant.Release(capacity.Result{})
		return nil, context.Cause(t.scheduler.ctx)
	}
	return grant, err
}

// deadline bounds the wait for a slot over all attempts of the task.
func (t *task) deadline() time.Duration {
	return defaults.Positive(t.request.Deadline, t.scheduler.options.DefaultDeadline)
}

func (t *task) timeLeft() time.Duration { return t.deadline() - time.Since(t.started) }

func (t *task) capacityRequest(deadline time.Duration) capacity.Request {
	request := &t.request
	return capacity.Request{
		Name:         request.Key.String(),
		Pool:         request.Pool,
		Organisation: request.Organisation.ID,
		Tier:         request.Organisation.Rank,
		PromptTokens: request.PromptTokens,
		AnswerTokens: t.expectedTokens(),
		Blocks:       request.Blocks,
		Session:      request.Key.Session,
		FirstToken:   request.Organisation.FirstTokenTarget,
		Deadline:     deadline,
		Fingerprint:  request.ContentHash,
	}
}

// expectedTokens returns the predicted length of the answer, at most the caller's
// limit; zero for a service call.
func (t *task) expectedTokens() int {
	request := &t.request
	if request.Call != nil {
		return 0
	}
	return t.scheduler.deps.LengthPredictor.Predict(request.Organisation.ID, request.Pool, request.PromptTokens, request.AnswerTokens)
}

// observeLength reports the length of a model's complete answer to the predictor.
func (t *task) observeLength(result capacity.Result) {
	request := &t.request
	if request.Call == nil && result.Complete {
		t.scheduler.deps.LengthPredictor.Observe(request.Organisation.ID, request.Pool, request.PromptTokens, request.AnswerTokens, result.AnswerTokens)
	}
}

// runWithGrant commits, dispatches and settles. The slot is released before the key's
// home is notified, which may take long.
func (t *task) runWithGrant(claim ledger.Claim, permit LimitPermit, grant capacity.Grant) step {
	waited := time.Since(t.started)
	result := t.commitAndRun(claim, grant)
	grant.Release(result.Usage)
	if result.NotSent != nil {
		permit.Release(0, 0)
		return t.handleNotSent(claim, result)
	}
	permit.Release(t.tokensUsed(result.Usage))
	t.observeLength(result.Usage)
	t.scheduler.metrics.recordDispatch(&t.request, waited+result.Usage.FirstToken, t.deadline(), result.Usage)
	return t.finish(claim, result.End)
}

// commitAndRun dispatches only after the home has acknowledged the commit. The
// dispatcher sends nothing if the slot was revoked or the caller disconnected in the
// meantime.
func (t *task) commitAndRun(claim ledger.Claim, grant capacity.Grant) dispatch.Result {
	ctx, stop := t.runContext(grant)
	defer stop()
	permit, err := t.authorise(claim, grant)
	if err != nil {
		return dispatch.Result{NotSent: fmt.Errorf("%w: %w", errCommit, err)}
	}
	t.setPhase(PhaseRunning)
	if t.request.Call != nil {
		return t.scheduler.deps.Dispatcher.RunService(ctx, permit, dispatch.ServiceRun{Request: *t.request.Call, Buffer: t.buffer})
	}
	return t.scheduler.deps.Dispatcher.RunEngine(ctx, permit, dispatch.EngineRun{
		Body:     t.request.Body,
		Buffer:   t.buffer,
		Progress: grant.Progress,
	})
}

// authorise commits the claim. Its context outlives the task's: an interrupted commit
// would leave the state at the key's home uncertain.
func (t *task) authorise(claim ledger.Claim, grant capacity.Grant) (*dispatch.Permit, error) {
	ctx, cancel := t.settleContext()
	defer cancel()
	return dispatch.Authorise(ctx, t.scheduler.deps.Ledger, claim, grant.Endpoint())
}

// runContext returns a context that ends with the task, when the slot is revoked, or
// after RunTimeout.
func (t *task) runContext(grant capacity.Grant) (context.Context, func()) {
	ctx, stop := context.WithCancelCause(t.ctx)
	ctx, cancel := context.WithTimeoutCause(ctx, t.scheduler.options.RunTimeout, dispatch.ErrRunTimeout)
	go func() {
		select {
		case <-grant.Revoked():
			stop(dispatch.ErrPreempted)
		case <-ctx.Done():
		}
	}()
	return ctx, func() {
		cancel()
		stop(nil)
	}
}

// handleNotSent settles a request of which no byte was sent. It is retried if only
// the endpoint was unreachable, the slot was revoked before dispatch, or the claim
// was revoked.
func (t *task) handleNotSent(claim ledger.Claim, result dispatch.Result) step {
	if errors.Is(result.NotSent, ledger.ErrRevoked) {
		// Another attempt holds the key: the next claim attaches to it.
		return t.retryClaim(unknownEnd(answer.CodeHistoryUnknown, "another attempt took the key over", shortRetryDelay))
	}
	end := causeEnd(result.NotSent)
	slotLost := result.Usage.Unreachable || errors.Is(result.NotSent, dispatch.ErrPreempted)
	if !slotLost || t.ctx.Err() != nil {
		return t.releaseAndEnd(claim, end)
	}
	if !t.release(claim) {
		return t.end(unsettledEnd())
	}
	return t.retryClaim(end)
}

// tokensUsed returns the tokens charged to the organisation. If the engine does not
// report the prompt's length, the estimate is charged.
func (t *task) tokensUsed(result capacity.Result) (prompt, answered int) {
	if result.PromptTokens > 0 {
		return result.PromptTokens, result.AnswerTokens
	}
	return t.request.PromptTokens, result.AnswerTokens
}
