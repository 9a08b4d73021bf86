package document

import (
	"context"
	"errors"
	"fmt"
	"time"

	"hawthornrill.example/hawthornrill/store"
)

const (
	// firstRetry is the mean pause after a watcher's first error; it doubles up to
	// Options.MaxRetryDelay.
	firstRetry = 250 * time.Millisecond
	// behindRenewal is how often the store is read while it is behind.
	behindRenewal = 2 * time.Second
)

// watcher follows the head in the store for one data centre.
type watcher struct {
	replica  *replica
	revision store.Revision
	started  bool
	// behindSince is when the store was first seen behind; zero if it isn't.
	behindSince time.Time
	// repairAt is when it is mended if it is still behind.
	repairAt time.Time
}

// run follows the head until the context ends.
func (w *watcher) run(ctx context.Context) {
	w.note(func(c *Condition) { c.Watching = true })
	defer w.note(func(c *Condition) { c.Watching, c.StoreBehind, c.StoreError = false, false, "" })
	retry := firstRetry
	read := true
	for ctx.Err() == nil {
		err := w.step(ctx, read)
		read = true
		switch {
		case err == nil:
			retry = firstRetry
			w.note(func(c *Condition) { c.StoreError = "" })
			read = !w.behindSince.IsZero()
		case ctx.Err() != nil:
			return
		case errors.Is(err, errRenew):
			w.note(func(c *Condition) { c.StoreError = "" })
		default:
			w.note(func(c *Condition) { c.StoreError = err.Error() })
			pause(ctx, retry)
			retry = min(2*retry, w.options().MaxRetryDelay)
		}
	}
}

// errRenew means that a watch ended without news; the head is then read, because
// a restored store can have lower revisions than the one waited for.
var errRenew = errors.New("document: watch renewed")

// step waits for a head, or reads it, and takes it.
func (w *watcher) step(ctx context.Context, read bool) error {
	h, revision, err := w.next(ctx, read)
	if err != nil {
		return err
	}
	w.revision = revision
	w.note(func(c *Condition) { c.StoreGeneration = h.Version.Generation })
	return w.observe(ctx, h, revision)
}

func (w *watcher) next(ctx context.Context, read bool) (head, store.Revision, error) {
	if !read {
		return w.wait(ctx)
	}
	switch {
	case !w.started:
		w.started = true
		pause(ctx, firstRetry)
	case !w.behindSince.IsZero():
		pause(ctx, behindRenewal)
	}
	return w.replica.storage.readHead(ctx)
}

// wait is one watch call.
func (w *watcher) wait(ctx context.Context) (head, store.Revision, error) {
	bounded, cancel := context.WithTimeout(ctx, w.options().WatchTimeout)
	defer cancel()
	entry, err := w.replica.storage.store.Watch(bounded, w.replica.storage.headKey(), w.revision)
	switch {
	case err == nil:
		return decodeHead(entry)
	case errors.Is(err, store.ErrNotFound):
		pause(ctx, behindRenewal)
		return head{}, 0, errRenew
	case bounded.Err() != nil:
		return head{}, 0, errRenew
	default:
		return head{}, 0, err
	}
}

// observe takes a later head than the one held, and mends a store that stays
// behind.
func (w *watcher) observe(ctx context.Context, h head, revision store.Revision) error {
	r := w.replica
	mine := r.stamp()
	behind := mine.After(h.Version.Stamp)
	w.note(func(c *Condition) { c.StoreBehind = behind })
	if !behind {
		w.behindSince = time.Time{}
	}
	switch {
	case h.Version.After(mine):
		return w.take(ctx, h)
	case behind:
		return w.mendStore(ctx, h, revision)
	}
	return w.recoverGood(ctx, h)
}

// take loads a version and tells the data centre.
func (w *watcher) take(ctx context.Context, h head) error {
	r := w.replica
	c, err := r.storage.loadHead(ctx, h, r.latest.Load(), r.inForce.Load())
	if err != nil {
		return fmt.Errorf("load generation %d: %w", h.Version.Generation, err)
	}
	if r.adopt(&held{version: h.Version, content: c}) {
		r.announceLocal(ctx)
	}
	return w.recoverGood(ctx, h)
}

// recoverGood puts the latest earlier version in force that can be, on a node
// that has none.
func (w *watcher) recoverGood(ctx context.Context, h head) error {
	r := w.replica
	for _, version := range h.History {
		if r.latest.Load() == nil || r.inForce.Load() != nil {
			return nil
		}
		c, err := r.storage.load(ctx, version, r.latest.Load())
		if err != nil {
			return fmt.Errorf("load generation %d: %w", version.Generation, err)
		}
		r.adoptGood(&held{version: version, content: c})
	}
	return nil
}

func (w *watcher) note(change func(*Condition)) { w.replica.setCondition(change) }

func (w *watcher) options() Options { return w.replica.service.options }
