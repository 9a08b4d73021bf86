package document

import (
	"context"
	"errors"
	"fmt"

	"hawthornrill.example/hawthornrill/store"
	"hawthornrill.example/hawthornrill/store/budget"
)

// Settle tells what became of an edit that ended with ErrUnknownOutcome, on any
// node: the version that it became, or ErrNotAccepted, after which it will never
// be accepted, or ErrUnknownOutcome while the store can't tell. The edit was made
// when the document had at least the base generation.
func (s *Service) ResolveEdit(ctx context.Context, name string, id EditID, base uint64) (Version, error) {
	r, err := s.replica(name)
	if err != nil {
		return Version{}, err
	}
	ctx, cancel := context.WithTimeout(budget.WithPurpose(ctx, budget.PurposeEdit), s.options.EditTimeout)
	defer cancel()
	for ctx.Err() == nil {
		version, err := r.trySettle(ctx, id, base)
		if !errors.Is(err, errConflict) {
			return version, err
		}
		pause(ctx, storeRetry)
	}
	return Version{}, fmt.Errorf("%w: edit %s: %w", ErrUnknownOutcome, id, context.Cause(ctx))
}

// trySettle looks for the edit. If it isn't there, the head is written again with
// the edit marked as refused: a write that is still on its way then meets
// another revision, and an attempt that starts later meets the mark.
func (r *replica) trySettle(ctx context.Context, id EditID, base uint64) (Version, error) {
	stored, revision, err := r.storage.readHead(ctx)
	if err != nil {
		return Version{}, fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	if version, ok := stored.accepted(id); ok {
		return version, nil
	}
	if stored.isRefused(id) {
		return Version{}, ErrNotAccepted
	}
	if !stored.covers(base) {
		return Version{}, fmt.Errorf("%w: too many edits since generation %d", ErrUnknownOutcome, base)
	}
	err = r.storage.writeHead(ctx, stored.refuse(id), revision)
	switch {
	case err == nil:
		return Version{}, ErrNotAccepted
	case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrUnknownOutcome):
		return Version{}, errConflict
	default:
		return Version{}, fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
}
