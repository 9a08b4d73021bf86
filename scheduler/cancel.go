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
	// ErrNotFound means that no reachable node runs the request.
	ErrNotFound = errors.New("scheduler: request not found")
	// ErrUnknown means that the node that may run the request is unreachable.
	ErrUnknown = errors.New("scheduler: state of the request is unknown")
)

type cancelRequest struct {
	Key domain.RequestKey `cbor:"1,keyasint"`
}

type cancelReply struct {
	Found bool `cbor:"1,keyasint"`
}

// Cancel cancels a request at the caller's demand, on whichever node it runs. A nil
// error means that cancellation has started; attempts that read the answer receive
// its final outcome. It returns ErrNotFound or ErrUnknown.
func (s *Scheduler) Cancel(ctx context.Context, key domain.RequestKey) error {
	if s.cancelLocal(key) {
		return nil
	}
	_, claim, err := s.lookup(ctx, key)
	if err != nil {
		return err
	}
	if claim.Holder.SameIncarnation(s.deps.Transport.Self()) {
		return ErrNotFound
	}
	reply, err := peer.Call[cancelRequest, cancelReply](ctx, s.deps.Transport, claim.Holder, MethodCancel, cancelRequest{Key: key})
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	if !reply.Found {
		return ErrNotFound
	}
	return nil
}

// lookup queries the key's home and translates its errors.
func (s *Scheduler) lookup(ctx context.Context, key domain.RequestKey) (ledger.State, ledger.Claim, error) {
	ctx, cancel := context.WithTimeout(ctx, s.options.ClaimTimeout)
	defer cancel()
	state, claim, err := s.deps.Ledger.Lookup(ctx, key)
	switch {
	case err == nil:
		return state, claim, nil
	case errors.Is(err, ledger.ErrNotFound):
		return 0, ledger.Claim{}, ErrNotFound
	default:
		return 0, ledger.Claim{}, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
}

// cancelLocal cancels the request if this node runs it. A task that follows another
// attempt's answer is not cancelled: it receives the end from the holder.
func (s *Scheduler) cancelLocal(key domain.RequestKey) bool {
	s.mu.Lock()
	t, ok := s.tasks[key]
	s.mu.Unlock()
	if !ok || t.following.Load() || t.currentPhase() == PhaseEnded {
		return false
	}
	t.cancel(dispatch.ErrCancelled)
	return true
}

func (s *Scheduler) serveCancel(_ context.Context, _ domain.Member, request cancelRequest) (cancelReply, error) {
	return cancelReply{Found: s.cancelLocal(request.Key)}, nil
}
