package scheduler

import (
	"context"

	"hawthornrill.example/hawthornrill/answer"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/ledger"
)

// Progress is the progress of a request as reported to its caller.
type Progress string

const (
	// ProgressWaiting means not dispatched yet.
	ProgressWaiting Progress = "waiting"
	// ProgressRunning means dispatched or about to be dispatched.
	ProgressRunning Progress = "running"
	// ProgressFinished means that the answer is complete.
	ProgressFinished Progress = "finished"
	// ProgressFailed means that the request was dispatched and its answer will never
	// be complete.
	ProgressFailed Progress = "failed"
)

// Find returns the progress of a request and a handle to its answer, on whichever
// node it is. It does not claim the key. It returns ErrNotFound or ErrUnknown.
func (s *Scheduler) Find(ctx context.Context, key domain.RequestKey) (Progress, *Handle, error) {
	if progress, handle, ok := s.findLocal(key); ok {
		return progress, handle, nil
	}
	state, claim, err := s.lookup(ctx, key)
	if err != nil {
		return "", nil, err
	}
	return progressOf(state), s.holderHandle(key, claim.Holder), nil
}

func (s *Scheduler) findLocal(key domain.RequestKey) (Progress, *Handle, bool) {
	s.mu.Lock()
	t, ok := s.tasks[key]
	s.mu.Unlock()
	if ok && !t.following.Load() {
		return t.progress(), t.handle(), true
	}
	return "", nil, false
}

func (t *task) progress() Progress {
	if end, ended := t.buffer.Ended(); ended {
		if end.Complete() {
			return ProgressFinished
		}
		return ProgressFailed
	}
	if t.currentPhase() == PhaseRunning {
		return ProgressRunning
	}
	return ProgressWaiting
}

func progressOf(state ledger.State) Progress {
	switch state {
	case ledger.StateClaimed:
		return ProgressWaiting
	case ledger.StateFinished:
		return ProgressFinished
	case ledger.StateFailed:
		return ProgressFailed
	default:
		return ProgressRunning
	}
}

// holderHandle returns a handle that reads the holder's answer.
func (s *Scheduler) holderHandle(key domain.RequestKey, holder domain.Member) *Handle {
	if !holder.SameIncarnation(s.deps.Transport.Self()) {
		source := relaySource{relay: s.deps.Relay, holder: holder, key: key}
		return &Handle{source: source, detach: func() {}}
	}
	if buffer, ok := s.deps.Answers.Get(key); ok {
		return newHandle(buffer)
	}
	return endedHandle(ranEnd(answer.CodeNotHeld, "the answer is no longer held"))
}

// relaySource reads an answer from another node without buffering it on this one.
type relaySource struct {
	relay  *answer.Relay
	holder domain.Member
	key    domain.RequestKey
}

func (r relaySource) Read(ctx context.Context, position answer.Position) (answer.Batch, error) {
	return r.relay.Read(ctx, r.holder, r.key, position)
}
