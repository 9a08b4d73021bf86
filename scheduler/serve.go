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

// serve runs a request whose claim was granted to this attempt.
func (t *task) serve(claim ledger.Claim) step {
	t.claimed.Store(uint64(claim.ID))
	if t.buffer.Audience.Empty() {
		// A later attempt may have been told not_run before this claim was granted.
		return t.refuse(claim, causeEnd(dispatch.ErrCallerGone))
	}
	if t.scheduler.draining.Load() {
		return t.refuse(claim, notRun(answer.CodeDraining, "the node is leaving", retrySoon))
	}
	t.scheduler.parts.Answers.Open(t.request.Key, t.buffer)
	request := &t.request
	permit, err := t.scheduler.parts.Limiter.Admit(request.Organisation, request.PromptTokens, t.expectedTokens())
	if err != nil {
		return t.refuse(claim, limitEnd(err))
	}
	grant, err := t.acquire()
	if err != nil {
		permit.Release(0, 0)
		return t.refuse(claim, acquireEnd(err))
	}
	return t.serveWithGrant(claim, permit, grant)
}

// acquire waits for a place until the request's deadline.
func (t *task) acquire() (capacity.Grant, error) {
	left := t.timeLeft()
	ctx, cancel := context.WithTimeoutCause(t.ctx, left, errDeadline)
	defer cancel()
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	grant, err := t.scheduler.parts.Capacity.Acquire(ctx, t.ask(left))
	if err != nil && ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	return grant, err
}

// deadline is how long the request may wait for a place, over all its tries.
func (t *task) deadline() time.Duration {
	return defaults.Positive(t.request.Deadline, t.scheduler.options.DefaultDeadline)
}

// timeLeft is what is left of the deadline.
func (t *task) timeLeft() time.Duration { return t.deadline() - time.Since(t.started) }

func (t *task) ask(deadline time.Duration) capacity.Ask {
	request := &t.request
	return capacity.Ask{
		Name:         request.Key.String(),
		Pool:         request.Pool,
		Organisation: request.Organisation.ID,
		Tier:         request.Organisation.Rank,
		PromptTokens: request.PromptTokens,
		AnswerTokens: t.expectedTokens(),
		Blocks:       request.Blocks,
		Session:      request.Key.Session,
		FirstToken:   request.Organisation.FirstToken,
		Deadline:     deadline,
		Fingerprint:  request.ContentHash,
	}
}

// expectedTokens is the length to expect of the answer, at most what the caller
// allows; zero for a plain call.
func (t *task) expectedTokens() int {
	request := &t.request
	if request.Call != nil {
		return 0
	}
	return t.scheduler.parts.LengthPredictor.Predict(request.Organisation.ID, request.Pool, request.PromptTokens, request.AnswerTokens)
}

// observeLength learns from a complete answer of a model.
func (t *task) observeLength(use capacity.Result) {
	request := &t.request
	if request.Call == nil && use.Complete {
		t.scheduler.parts.LengthPredictor.Observe(request.Organisation.ID, request.Pool, request.PromptTokens, request.AnswerTokens, use.AnswerTokens)
	}
}

// serveWithGrant commits, dispatches and settles. The place is given back before
// the key's home is told, which may take its time.
func (t *task) serveWithGrant(claim ledger.Claim, permit LimitPermit, grant capacity.Grant) step {
	waited := time.Since(t.started)
	result := t.commitAndRun(claim, grant)
	grant.Release(result.Use)
	if result.NotSent != nil {
		permit.Release(0, 0)
		return t.notSent(claim, result)
	}
	permit.Release(t.tokensUsed(result.Use))
	t.observeLength(result.Use)
	t.scheduler.metrics.dispatched(&t.request, waited+result.Use.FirstToken, t.deadline(), result.Use)
	return t.finish(claim, result.End)
}

// commitAndRun dispatches only after the home's acknowledgement. The dispatcher
// sends nothing if the place was taken back or the caller left meanwhile.
func (t *task) commitAndRun(claim ledger.Claim, grant capacity.Grant) dispatch.Result {
	ctx, stop := t.runContext(grant)
	defer stop()
	permit, err := t.authorise(claim, grant)
	if err != nil {
		return dispatch.Result{NotSent: fmt.Errorf("%w: %w", errCommit, err)}
	}
	t.setPhase(PhaseRunning)
	if t.request.Call != nil {
		return t.scheduler.parts.Dispatcher.RunService(ctx, permit, dispatch.ServiceRun{Request: *t.request.Call, Buffer: t.buffer})
	}
	return t.scheduler.parts.Dispatcher.RunEngine(ctx, permit, dispatch.EngineRun{
		Body:     t.request.Body,
		Buffer:   t.buffer,
		Progress: grant.Progress,
	})
}

// authorise commits the claim. It does not end early with the task: a commit cut
// short would leave the key's home in doubt.
func (t *task) authorise(claim ledger.Claim, grant capacity.Grant) (*dispatch.Permit, error) {
	ctx, cancel := t.settleContext()
	defer cancel()
	return dispatch.Authorise(ctx, t.scheduler.parts.Ledger, claim, grant.Endpoint())
}

// runContext ends with the task, when the place is taken back, or when the
// request has run for as long as any may.
func (t *task) runContext(grant capacity.Grant) (context.Context, func()) {
	ctx, stop := context.WithCancelCause(t.ctx)
	ctx, cancel := context.WithTimeoutCause(ctx, t.scheduler.options.RunTimeout, dispatch.ErrTooLong)
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

// notSent settles a request of which not one byte was sent. If only the endpoint
// could not be reached, the place was taken back in time, or the claim was
// overtaken, it is tried anew.
func (t *task) notSent(claim ledger.Claim, result dispatch.Result) step {
	if errors.Is(result.NotSent, ledger.ErrRevoked) {
		// Another attempt holds the key: the next claim attaches to it.
		return t.again(unknown(answer.CodeHistoryUnknown, "another attempt took the key over", retrySoon))
	}
	end := causeEnd(result.NotSent)
	placeLost := result.Use.Unreachable || errors.Is(result.NotSent, dispatch.ErrPreempted)
	if !placeLost || t.ctx.Err() != nil {
		return t.refuse(claim, end)
	}
	if !t.release(claim) {
		return t.end(unsettled())
	}
	return t.again(end)
}

// tokensUsed returns what the organisation is charged with; engines that do not
// report the prompt's length are taken at the estimate.
func (t *task) tokensUsed(use capacity.Result) (prompt, answered int) {
	if use.PromptTokens > 0 {
		return use.PromptTokens, use.AnswerTokens
	}
	return t.request.PromptTokens, use.AnswerTokens
}
