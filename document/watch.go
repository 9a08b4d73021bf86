package document

import (
	"context"
	"errors"
	"fmt"
	"time"

	"hawthornrill.example/hawthornrill/store"
)

const (
	// initialRetryDelay is the mean delay after a watcher's first store error. It doubles
	// with each further error, up to Options.MaxRetryDelay.
	initialRetryDelay = 250 * time.Millisecond
	// behindPollInterval is the mean time between reads while the store is behind.
	behindPollInterval = 2 * time.Second
)

// watcher watches the document's head in the store on behalf of its data centre.
type watcher struct {
	replica  *replica
	revision store.Revision
	started  bool
	// behindSince is when the store was first found to be behind; zero if it is not.
	behindSince time.Time
	// repairAt is when the store is repaired if it is still behind.
	repairAt time.Time
}

// run watches the head until the context ends.
func (w *watcher) run(ctx context.Context) {
	w.updateCondition(func(c *Condition) { c.Watching = true })
	defer w.updateCondition(func(c *Condition) { c.Watching, c.StoreBehind, c.StoreError = false, false, "" })
	retry := initialRetryDelay
	read := true
	for ctx.Err() == nil {
		err := w.step(ctx, read)
		read = true
		switch {
		case err == nil:
			retry = initialRetryDelay
			w.updateCondition(func(c *Condition) { c.StoreError = "" })
			read = !w.behindSince.IsZero()
		case ctx.Err() != nil:
			return
		case errors.Is(err, errWatchExpired):
			w.updateCondition(func(c *Condition) { c.StoreError = "" })
		default:
			w.updateCondition(func(c *Condition) { c.StoreError = err.Error() })
			pause(ctx, retry)
			retry = min(2*retry, w.options().MaxRetryDelay)
		}
	}
}

// errWatchExpired means that a watch call ended without a change. The head is then
// read, because a restored store can have lower revisions than the one watched for.
var errWatchExpired = errors.New("document: watch expired without a change")

// step reads the head, or waits for it to change, and handles it.
func (w *watcher) step(ctx context.Context, read bool) error {
	h, revision, err := w.next(ctx, read)
	if err != nil {
		return err
	}
	w.revision = revision
	w.updateCondition(func(c *Condition) { c.StoreGeneration = h.Version.Generation })
	return w.handleHead(ctx, h, revision)
}

func (w *watcher) next(ctx context.Context, read bool) (head, store.Revision, error) {
	if !read {
		return w.wait(ctx)
	}
	switch {
	case !w.started:
		w.started = true
		pause(ctx, initialRetryDelay)
	case !w.behindSince.IsZero():
		pause(ctx, behindPollInterval)
	}
	return w.replica.storage.readHead(ctx)
}

// wait makes one watch call to the store.
func (w *watcher) wait(ctx context.Context) (head, store.Revision, error) {
	bounded, cancel := context.WithTimeout(ctx, w.options().WatchTimeout)
	defer cancel()
	entry, err := w.replica.storage.store.Watch(bounded, w.replica.storage.headKey(), w.revision)
	switch {
	case err == nil:
		return decodeHead(entry)
	case errors.Is(err, store.ErrNotFound):
		pause(ctx, behindPollInterval)
		return head{}, 0, errWatchExpired
	case bounded.Err() != nil:
		return head{}, 0, errWatchExpired
	default:
		return head{}, 0, err
	}
}

// handleHead adopts the head's version if it is later than the one held, and repairs
// the store if it stays behind.
func (w *watcher) handleHead(ctx context.Context, h head, revision store.Revision) error {
	r := w.replica
	local := r.stamp()
	behind := local.After(h.Version.Stamp)
	w.updateCondition(func(c *Condition) { c.StoreBehind = behind })
	if !behind {
		w.behindSince = time.Time{}
	}
	switch {
	case h.Version.After(local):
		return w.loadAndAdopt(ctx, h)
	case behind:
		return w.repairWhenDue(ctx, h, revision)
	}
	return w.recoverLastGood(ctx, h)
}

// loadAndAdopt loads and adopts the head's version and announces it locally.
func (w *watcher) loadAndAdopt(ctx context.Context, h head) error {
	r := w.replica
	c, err := r.storage.loadHead(ctx, h, r.latest.Load(), r.inForce.Load())
	if err != nil {
		return fmt.Errorf("load generation %d: %w", h.Version.Generation, err)
	}
	if r.adopt(&loadedVersion{version: h.Version, content: c}) {
		r.announceLocal(ctx)
	}
	return w.recoverLastGood(ctx, h)
}

// recoverLastGood tries the versions of the history, newest first, on a node that has
// no version in force because the latest one can't be applied.
func (w *watcher) recoverLastGood(ctx context.Context, h head) error {
	r := w.replica
	for _, version := range h.History {
		if r.latest.Load() == nil || r.inForce.Load() != nil {
			return nil
		}
		c, err := r.storage.load(ctx, version, r.latest.Load())
		if err != nil {
			return fmt.Errorf("load generation %d: %w", version.Generation, err)
		}
		r.applyLastGood(&loadedVersion{version: version, content: c})
	}
	return nil
}

func (w *watcher) updateCondition(change func(*Condition)) { w.replica.updateCondition(change) }

func (w *watcher) options() Options { return w.replica.service.options }
