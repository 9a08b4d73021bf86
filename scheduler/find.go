package scheduler

import (
	"context"

	"hawthornrill.example/hawthornrill/answer"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/ledger"
)

// Progress tells a caller where its request stands.
type Progress string

const (
	// ProgressWaiting: not dispatched yet.
	ProgressWaiting Progress = "waiting"
	// ProgressRunning: dispatched, or about to be.
	ProgressRunning Progress = "running"
	// ProgressFinished: the answer is complete.
	ProgressFinished Progress = "finished"
	// ProgressFailed: dispatched, and the answer will never be complete.
	ProgressFailed Progress = "failed"
)

// Find tells where a request stands and gives a hold on its answer, wherever it
// is. It claims nothing. It returns ErrNotFound or ErrUnknown.
func (s *Scheduler) Find(ctx context.Context, key domain.RequestKey) (Progress, *Handle, error) {
	if progress, handle, ok := s.findHere(key); ok {
		return progress, handle, nil
	}
	state, claim, err := s.lookup(ctx, key)
	if err != nil {
		return "", nil, err
	}
	return progressOf(state), s.follow(key, claim.Holder), nil
}

func (s *Scheduler) findHere(key domain.RequestKey) (Progress, *Handle, bool) {
	s.mu.Lock()
	t, ok := s.tasks[key]
	s.mu.Unlock()
	if ok && !t.copying.Load() {
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
	if t.phaseNow() == PhaseRunning {
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

// follow returns a handle that reads the holder's answer.
func (s *Scheduler) follow(key domain.RequestKey, holder domain.Member) *Handle {
	if !holder.SameIncarnation(s.parts.Transport.Self()) {
		source := remoteSource{relay: s.parts.Relay, holder: holder, key: key}
		return &Handle{source: source, leave: func() {}}
	}
	if buffer, ok := s.parts.Answers.Get(key); ok {
		return newHandle(buffer)
	}
	return endedHandle(ran(answer.CodeNotHeld, "the answer is no longer held"))
}

// remoteSource reads another node's answer without keeping it here.
type remoteSource struct {
	relay  *answer.Relay
	holder domain.Member
	key    domain.RequestKey
}

func (r remoteSource) Read(ctx context.Context, position answer.Position) (answer.Batch, error) {
	return r.relay.Read(ctx, r.holder, r.key, position)
}
