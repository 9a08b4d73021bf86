package scheduler

import (
	"context"
	"errors"
	"time"

	"hawthornrill.example/hawthornrill/answer"
	"hawthornrill.example/hawthornrill/dispatch"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/ledger"
)

// holderRetryDelay is the delay between attempts to read an unreachable holder.
const holderRetryDelay = 500 * time.Millisecond

// followHolder copies the answer that another attempt produces, or has produced, into
// the task's buffer. If the holder is unreachable, the key is claimed again: the home
// may since have learnt which node can continue the request.
func (t *task) followHolder(claim ledger.Claim) step {
	t.following.Store(true)
	defer t.following.Store(false)
	t.setPhase(PhaseRunning)
	position := answer.Position{From: t.buffer.Next(), NeedHead: true}
	for {
		batch, err := t.readHolder(claim, position)
		if err != nil {
			return t.followFailed(claim, err)
		}
		t.unreachableSince = time.Time{}
		if err := t.appendBatch(batch); err != nil {
			return t.followFailed(claim, err)
		}
		position = position.Advance(batch)
		if batch.End != nil {
			return t.followEnded(*batch.End)
		}
	}
}

func (t *task) readHolder(claim ledger.Claim, position answer.Position) (answer.Batch, error) {
	if !claim.Holder.SameIncarnation(t.scheduler.deps.Transport.Self()) {
		return t.scheduler.deps.Relay.Read(t.ctx, claim.Holder, t.request.Key, position)
	}
	buffer, ok := t.scheduler.deps.Answers.Get(t.request.Key)
	if !ok || buffer == t.buffer {
		return answer.Batch{}, answer.ErrNotHeld
	}
	return buffer.Read(t.ctx, position)
}

func (t *task) appendBatch(batch answer.Batch) error {
	if batch.Head != nil {
		t.buffer.SetHead(*batch.Head)
	}
	for _, chunk := range batch.Chunks {
		if err := t.buffer.Append(t.ctx, chunk.Sequence, chunk.Data); err != nil {
			return err
		}
	}
	return nil
}

// followEnded forwards the end of the followed answer. A not_run outcome leaves the
// key free, so this attempt claims it again, unless the caller cancelled the request.
func (t *task) followEnded(end answer.End) step {
	if end.Outcome == domain.OutcomeNotRun && end.Code != answer.CodeCancelled {
		return t.retryUnreachable(end)
	}
	return t.end(end)
}

func (t *task) followFailed(claim ledger.Claim, err error) step {
	switch {
	case t.ctx.Err() != nil:
		return t.end(unknownEnd(answer.CodeHolderUnreachable, "this attempt stopped following the answer at another node", shortRetryDelay))
	case errors.Is(err, answer.ErrTruncated):
		return t.end(ranEnd(answer.CodeNotHeld, "the request was run and the front of its answer is no longer held"))
	case errors.Is(err, answer.ErrNotHeld) && claim.Verdict == ledger.VerdictFinished:
		return t.end(ranEnd(answer.CodeNotHeld, "the request was run and its answer is no longer held"))
	default:
		return t.retryUnreachable(unknownEnd(answer.CodeHolderUnreachable, "the node that holds the answer can't be reached", longRetryDelay))
	}
}

// retryUnreachable waits and then requests another claim. It ends the task once the
// holder has been unreachable for HolderTimeout.
func (t *task) retryUnreachable(end answer.End) step {
	if t.unreachableSince.IsZero() {
		t.unreachableSince = time.Now()
	}
	if time.Since(t.unreachableSince) >= t.scheduler.options.HolderTimeout {
		return t.end(end)
	}
	timer := time.NewTimer(holderRetryDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return stepRetry
	case <-t.ctx.Done():
		return t.end(end)
	}
}

// takeOver reads the remainder of an answer whose request was dispatched by an
// incarnation that no longer exists. It dispatches nothing. The response of a service
// call can't be read again, so such a request ends as ran.
func (t *task) takeOver(claim ledger.Claim) step {
	t.claimID.Store(uint64(claim.ID))
	t.scheduler.deps.Answers.Open(t.request.Key, t.buffer)
	t.setPhase(PhaseRunning)
	if t.request.Call != nil {
		return t.finish(claim, ranEnd(answer.CodeBroken, "the request was dispatched by a node that is gone, and its response with it"))
	}
	ctx, cancel := context.WithTimeoutCause(t.ctx, t.scheduler.options.RunTimeout, dispatch.ErrRunTimeout)
	defer cancel()
	result := t.scheduler.deps.Dispatcher.ResumeEngine(ctx, claim.Endpoint, t.request.Key, dispatch.EngineRun{Buffer: t.buffer})
	return t.finish(claim, result.End)
}
