package document

import (
	"context"
	"fmt"
	"time"

	"hawthornrill.example/hawthornrill/store"
	"hawthornrill.example/hawthornrill/store/budget"
)

// mendStore writes this node's version back into a store that has been behind
// for a while: it was restored from an old copy. An old value read by chance
// does not last, and a write against its revision fails.
func (w *watcher) mendStore(ctx context.Context, h head, revision store.Revision) error {
	if w.behindSince.IsZero() {
		w.behindSince = time.Now()
		w.repairAt = w.behindSince.Add(w.options().RepairDelay + jitter(w.options().RepairDelay/2))
		w.replica.service.options.Logger.Warn().Str("document", w.replica.spec.Name).
			Uint64("store", h.Version.Generation).Uint64("held", w.replica.stamp().Generation).
			Msg("the store is behind this node")
	}
	if time.Now().Before(w.repairAt) {
		return nil
	}
	err := w.replica.repair(budget.WithPurpose(ctx, budget.PurposeRepair), h, revision)
	if err != nil {
		return fmt.Errorf("repair the store: %w", err)
	}
	w.behindSince = time.Time{}
	return nil
}

// repair makes the version held the store's head again.
func (r *replica) repair(ctx context.Context, stored head, revision store.Revision) error {
	mine := r.latest.Load()
	inline, err := r.putValue(ctx, mine.content, stored)
	if err != nil {
		return err
	}
	next := stored.next(mine.version, inline, r.spec.KeepHistory)
	if err := r.storage.writeHead(ctx, next, revision); err != nil {
		return err
	}
	r.service.meters.repairs.Inc()
	r.service.options.Logger.Warn().Str("document", r.spec.Name).
		Uint64("generation", mine.version.Generation).Msg("wrote the version held back into the store")
	return nil
}

// putValue stores a content: small ones without history go into the head, which
// the result is for, others are written in parts.
func (r *replica) putValue(ctx context.Context, c *content, stored head) (inline [][]byte, err error) {
	if r.spec.KeepHistory == 0 && c.size <= inlineBytes {
		return c.parts, nil
	}
	return nil, r.storage.putContent(ctx, c, r.storedHashes(ctx, stored))
}

// storedHashes returns the parts that the stored head refers to; none if they
// can't be told, whereupon all are written.
func (r *replica) storedHashes(ctx context.Context, stored head) []Hash {
	if stored.Version.Generation == 0 || len(stored.Inline) > 0 {
		return nil
	}
	hashes, err := r.storage.loadManifest(ctx, stored.Version, r.latest.Load(), r.inForce.Load())
	if err != nil {
		return nil
	}
	return hashes
}
