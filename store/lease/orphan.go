package lease

import (
	"context"
	"errors"
	"fmt"
	"time"

	"hawthornrill.example/hawthornrill/store"
	"hawthornrill.example/hawthornrill/store/budget"
)

// orphanError is ErrHeld for a key that has no store lease, and so never expires.
type orphanError struct {
	entry store.Entry
	owner string
}

// Error names the former owner.
func (e *orphanError) Error() string {
	return fmt.Sprintf("%s: %s, but its key has no store lease", ErrHeld, e.owner)
}

// Unwrap returns ErrHeld.
func (e *orphanError) Unwrap() error { return ErrHeld }

// remove deletes the key after one TTL. By then its former holder has stopped: its
// keep-alives have failed since before the key was read.
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
