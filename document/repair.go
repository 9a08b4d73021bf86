package document

import (
	"context"
	"fmt"
	"time"

	"hawthornrill.example/hawthornrill/store"
	"hawthornrill.example/hawthornrill/store/budget"
)

// repairWhenDue writes this node's version back into the store once the store has been
// behind for RepairDelay, which means that it was restored from an old backup. A
// stale read does not persist that long, and a write against its revision fails.
func (w *watcher) repairWhenDue(ctx context.Context, h head, revision store.Revision) error {
	if w.behindSince.IsZero() {
		w.behindSince = time.Now()
		w.repairAt = w.behindSince.Add(w.options().RepairDelay + jitter(w.options().RepairDelay/2))
		w.replica.service.options.Logger.Warn().Str("document", w.replica.spec.Name).
			Uint64("store", h.Version.Generation).Uint64("held", w.replica.stamp().Generation).
			Msg("store has an earlier version than this node")
	}
	if time.Now().Before(w.repairAt) {
		return nil
	}
	err := w.replica.repair(budget.WithPurpose(ctx, budget.PurposeRepair), h, revision)
	if err != nil {
		return fmt.Errorf("repair store: %w", err)
	}
	w.behindSince = time.Time{}
	return nil
}

// repair writes the version held to the store as its head.
func (r *replica) repair(ctx context.Context, stored head, revision store.Revision) error {
	local := r.latest.Load()
	inline, err := r.putValue(ctx, local.content, stored)
	if err != nil {
		return err
	}
	next := stored.next(local.version, inline, r.spec.KeepHistory)
	if err := r.storage.writeHead(ctx, next, revision); err != nil {
		return err
	}
	r.service.counters.storeRepairs.Inc()
	r.service.options.Logger.Warn().Str("document", r.spec.Name).
		Uint64("generation", local.version.Generation).Msg("restored the version held to the store")
	return nil
}

// putValue stores a content. If it is small and the document keeps no history, it
// only returns the parts to be stored inline in the head. Otherwise it writes the
// parts and returns nil.
func (r *replica) putValue(ctx context.Context, c *content, stored head) (inline [][]byte, err error) {
	if r.spec.KeepHistory == 0 && c.size <= maxInlineBytes {
		return c.parts, nil
	}
	return nil, r.storage.putContent(ctx, c, r.storedHashes(ctx, stored))
}

// storedHashes returns the hashes of the parts that the stored head refers to, or nil
// if its manifest can't be loaded. All parts are then written.
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
