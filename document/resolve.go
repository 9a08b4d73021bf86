package document

import (
	"context"
	"errors"
	"fmt"

	"hawthornrill.example/hawthornrill/store"
	"hawthornrill.example/hawthornrill/store/budget"
)

// ResolveEdit determines the outcome of an edit that ended with ErrUnknownOutcome. It
// may be called on any node. It returns the version that the edit created, or
// ErrNotAccepted, after which the edit will never be accepted, or ErrUnknownOutcome
// if the store does not answer or no longer records all edits since base. base is a
// generation that the document had reached when the edit was made.
func (s *Service) ResolveEdit(ctx context.Context, name string, id EditID, base uint64) (Version, error) {
	r, err := s.replica(name)
	if err != nil {
		return Version{}, err
	}
	ctx, cancel := context.WithTimeout(budget.WithPurpose(ctx, budget.PurposeEdit), s.options.EditTimeout)
	defer cancel()
	for ctx.Err() == nil {
		version, err := r.tryResolveEdit(ctx, id, base)
		if !errors.Is(err, errConflict) {
			return version, err
		}
		pause(ctx, meanStoreRetryDelay)
	}
	return Version{}, fmt.Errorf("%w: edit %s: %w", ErrUnknownOutcome, id, context.Cause(ctx))
}

// tryResolveEdit looks the edit up in the head. If it is not recorded, the head is
// rewritten with the edit marked as rejected: a write still in flight then fails
// because the revision has changed, and a later attempt finds the mark.
func (r *replica) tryResolveEdit(ctx context.Context, id EditID, base uint64) (Version, error) {
	stored, revision, err := r.storage.readHead(ctx)
	if err != nil {
		return Version{}, fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	if version, ok := stored.accepted(id); ok {
		return version, nil
	}
	if stored.isRejected(id) {
		return Version{}, ErrNotAccepted
	}
	if !stored.recordsEditsAfter(base) {
		return Version{}, fmt.Errorf("%w: edits since generation %d are no longer all recorded", ErrUnknownOutcome, base)
	}
	err = r.storage.writeHead(ctx, stored.reject(id), revision)
	switch {
	case err == nil:
		return Version{}, ErrNotAccepted
	case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrUnknownOutcome):
		return Version{}, errConflict
	default:
		return Version{}, fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
}
