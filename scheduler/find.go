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
	progress := progressOf(state)
	if progress == ProgressRunning {
		progress = s.holderProgress(ctx, key, claim.Holder)
	}
	return progress, s.holderHandle(key, claim.Holder), nil
}

// holderProgress returns the progress of a request that runs, as far as the key's home
// knows. The home learns of the end later than the request's caller, so the holder is
// asked; if it can't be reached, the home's knowledge stands.
func (s *Scheduler) holderProgress(ctx context.Context, key domain.RequestKey, holder domain.Member) Progress {
	if holder.SameIncarnation(s.deps.Transport.Self()) {
		if buffer, ok := s.deps.Answers.Get(key); ok {
			return progressOfBuffer(buffer, ProgressRunning)
		}
		return ProgressRunning
	}
	ctx, cancel := context.WithTimeout(ctx, s.options.ClaimTimeout)
	defer cancel()
	end, err := s.deps.Relay.End(ctx, holder, key)
	if err != nil || end == nil {
		return ProgressRunning
	}
	return progressOfEnd(*end)
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
	if t.currentPhase() == PhaseRunning {
		return progressOfBuffer(t.buffer, ProgressRunning)
	}
	return progressOfBuffer(t.buffer, ProgressWaiting)
}

// progressOfBuffer returns the progress according to the end of an answer, or the given
// one if it has not ended.
func progressOfBuffer(buffer *answer.Buffer, unended Progress) Progress {
	if end, ended := buffer.Ended(); ended {
		return progressOfEnd(end)
	}
	return unended
}

func progressOfEnd(end answer.End) Progress {
	if end.Complete() {
		return ProgressFinished
	}
	return ProgressFailed
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
