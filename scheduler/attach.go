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

// attachRetry is the pause before a holder that can't be read is asked about anew.
const attachRetry = 500 * time.Millisecond

// copyFrom copies the answer that another attempt produces, or has produced,
// into the task's buffer. When the holder is gone the key is claimed anew, since
// the home may have learnt meanwhile who can go on.
func (t *task) copyFrom(claim ledger.Claim) step {
	t.copying.Store(true)
	defer t.copying.Store(false)
	t.setPhase(PhaseRunning)
	position := answer.Position{From: t.buffer.Next(), NeedHead: true}
	for {
		batch, err := t.readHolder(claim, position)
		if err != nil {
			return t.copyFailed(claim, err)
		}
		t.lost = time.Time{}
		if err := t.append(batch); err != nil {
			return t.copyFailed(claim, err)
		}
		position = position.Advance(batch)
		if batch.End != nil {
			return t.copyEnded(*batch.End)
		}
	}
}

func (t *task) readHolder(claim ledger.Claim, position answer.Position) (answer.Batch, error) {
	if !claim.Holder.SameIncarnation(t.scheduler.parts.Transport.Self()) {
		return t.scheduler.parts.Relay.Read(t.ctx, claim.Holder, t.request.Key, position)
	}
	buffer, ok := t.scheduler.parts.Answers.Get(t.request.Key)
	if !ok || buffer == t.buffer {
		return answer.Batch{}, answer.ErrNotHeld
	}
	return buffer.Read(t.ctx, position)
}

func (t *task) append(batch answer.Batch) error {
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

// copyEnded passes the end on. An attempt that was not run leaves the key free,
// and this one takes its turn, unless the caller had cancelled.
func (t *task) copyEnded(end answer.End) step {
	if end.Outcome == domain.OutcomeNotRun && end.Code != answer.CodeCancelled {
		return t.retryLost(end)
	}
	return t.end(end)
}

func (t *task) copyFailed(claim ledger.Claim, err error) step {
	switch {
	case t.ctx.Err() != nil:
		return t.end(unknown(answer.CodeHolderUnreachable, "this attempt stopped following the answer at another node", retrySoon))
	case errors.Is(err, answer.ErrTruncated):
		return t.end(ran(answer.CodeNotHeld, "the request was run and the front of its answer is no longer held"))
	case errors.Is(err, answer.ErrNotHeld) && claim.Verdict == ledger.VerdictFinished:
		return t.end(ran(answer.CodeNotHeld, "the request was run and its answer is no longer held"))
	default:
		return t.retryLost(unknown(answer.CodeHolderUnreachable, "the node that holds the answer can't be reached", retryLater))
	}
}

// retryLost waits before the key is claimed anew, until the holder has been out
// of reach for the window.
func (t *task) retryLost(end answer.End) step {
	if t.lost.IsZero() {
		t.lost = time.Now()
	}
	if time.Since(t.lost) >= t.scheduler.options.AttachWindow {
		return t.end(end)
	}
	timer := time.NewTimer(attachRetry)
	defer timer.Stop()
	select {
	case <-timer.C:
		return stepAgain
	case <-t.ctx.Done():
		return t.end(end)
	}
}

// takeOver reads the rest of an answer that a life now gone had dispatched.
// Nothing is dispatched; a plain call can't be read again.
func (t *task) takeOver(claim ledger.Claim) step {
	t.claimed.Store(uint64(claim.ID))
	t.scheduler.parts.Answers.Open(t.request.Key, t.buffer)
	t.setPhase(PhaseRunning)
	if t.request.Call != nil {
		return t.finish(claim, ran(answer.CodeBroken, "the request was dispatched by a node that is gone, and its response with it"))
	}
	ctx, cancel := context.WithTimeoutCause(t.ctx, t.scheduler.options.MaxRun, dispatch.ErrTooLong)
	defer cancel()
	result := t.scheduler.parts.Dispatcher.ResumeEngine(ctx, claim.Endpoint, t.request.Key, dispatch.EngineRun{Buffer: t.buffer})
	return t.finish(claim, result.End)
}
