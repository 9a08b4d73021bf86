package lease

import (
	"context"
	"errors"
	"fmt"
	"time"

	"hawthornrill.example/hawthornrill/store"
	"hawthornrill.example/hawthornrill/store/budget"
)

// orphanError is ErrHeld for a key that no store lease will ever end.
type orphanError struct {
	entry store.Entry
	owner string
}

// Error names the former owner.
func (e *orphanError) Error() string {
	return fmt.Sprintf("%s: %s, without a lease of the store", ErrHeld, e.owner)
}

// Unwrap returns ErrHeld.
func (e *orphanError) Unwrap() error { return ErrHeld }

// remove deletes the key once its former holder has certainly stopped: its
// keep-alives have failed since before the key was seen.
func (e *orphanError) remove(ctx context.Context, s store.Store, o Options) error {
	ctx = budget.WithPurpose(ctx, budget.PurposeLease)
	timer := time.NewTimer(o.TTL)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return e
	}
	err := s.Delete(ctx, e.entry.Key, e.entry.Revision)
	if err != nil && !errors.Is(err, store.ErrNotFound) && !errors.Is(err, store.ErrConflict) {
		return fmt.Errorf("%w: %w", ErrNotAcquired, err)
	}
	return nil
}
