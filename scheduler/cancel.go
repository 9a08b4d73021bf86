package scheduler

import (
	"context"
	"errors"
	"fmt"

	"hawthornrill.example/hawthornrill/dispatch"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/ledger"
	"hawthornrill.example/hawthornrill/peer"
)

// MethodCancel asks the node that runs a request to cancel it.
const MethodCancel peer.Method = "answer.cancel"

var (
	// ErrNotFound means that no node in reach runs the request.
	ErrNotFound = errors.New("scheduler: request not found")
	// ErrUnknown means that the node that may run the request can't be reached.
	ErrUnknown = errors.New("scheduler: state of the request is unknown")
)

type cancelRequest struct {
	Key domain.RequestKey `cbor:"1,keyasint"`
}

type cancelReply struct {
	Found bool `cbor:"1,keyasint"`
}

// Cancel ends a request on its caller's order, wherever it runs. After a nil
// error it is being cancelled; the attempts that read it are told how it ended.
// It returns ErrNotFound or ErrUnknown.
func (s *Scheduler) Cancel(ctx context.Context, key domain.RequestKey) error {
	if s.cancelHere(key) {
		return nil
	}
	_, claim, err := s.lookup(ctx, key)
	if err != nil {
		return err
	}
	if claim.Holder.SameIncarnation(s.parts.Transport.Self()) {
		return ErrNotFound
	}
	reply, err := peer.Call[cancelRequest, cancelReply](ctx, s.parts.Transport, claim.Holder, MethodCancel, cancelRequest{Key: key})
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	if !reply.Found {
		return ErrNotFound
	}
	return nil
}

// lookup asks the key's home and translates its errors.
func (s *Scheduler) lookup(ctx context.Context, key domain.RequestKey) (ledger.State, ledger.Claim, error) {
	ctx, cancel := context.WithTimeout(ctx, s.options.ClaimTimeout)
	defer cancel()
	state, claim, err := s.parts.Ledger.Lookup(ctx, key)
	switch {
	case err == nil:
		return state, claim, nil
	case errors.Is(err, ledger.ErrNotFound):
		return 0, ledger.Claim{}, ErrNotFound
	default:
		return 0, ledger.Claim{}, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
}

// cancelHere cancels the request if this node runs it. An attempt that only
// follows another's answer is left to learn the end from there.
func (s *Scheduler) cancelHere(key domain.RequestKey) bool {
	s.mu.Lock()
	t, ok := s.tasks[key]
	s.mu.Unlock()
	if !ok || t.copying.Load() || t.phaseNow() == PhaseEnded {
		return false
	}
	t.cancel(dispatch.ErrCancelled)
	return true
}

func (s *Scheduler) serveCancel(_ context.Context, _ domain.Member, request cancelRequest) (cancelReply, error) {
	return cancelReply{Found: s.cancelHere(request.Key)}, nil
}
