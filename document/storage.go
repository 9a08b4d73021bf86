package document

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/url"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"

	"hawthornrill.example/hawthornrill/pacing"
	"hawthornrill.example/hawthornrill/store"
)

const (
	keyPrefix = "documents/"
	// maxInlineBytes is the maximum size of a value that is stored in the head itself,
	// if the document keeps no history.
	maxInlineBytes = 64 << 10
	// listThreshold is the number of missing parts from which on they are read by one
	// listing instead of one by one.
	listThreshold = 64
	// maxConcurrentStoreCalls limits concurrent reads or writes of a version's parts.
	maxConcurrentStoreCalls = 8
	// meanStoreRetryDelay is the mean delay before a write is retried.
	meanStoreRetryDelay = 50 * time.Millisecond
)

// storage reads and writes one document in the store.
type storage struct {
	store   store.Store
	name    string
	timeout time.Duration
}

func (s storage) prefix() string        { return keyPrefix + url.PathEscape(s.name) + "/" }
func (s storage) headKey() string       { return s.prefix() + "head" }
func (s storage) partPrefix() string    { return s.prefix() + "part/" }
func (s storage) partKey(h Hash) string { return s.partPrefix() + h.String() }
func (s storage) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, s.timeout)
}

// readHead returns the head and its revision, which is zero if there is no head.
func (s storage) readHead(ctx context.Context) (head, store.Revision, error) {
	ctx, cancel := s.withTimeout(ctx)
	defer cancel()
	entry, err := s.store.Get(ctx, s.headKey())
	if errors.Is(err, store.ErrNotFound) {
		return head{}, 0, nil
	}
	if err != nil {
		return head{}, 0, err
	}
	return decodeHead(entry)
}

func decodeHead(entry store.Entry) (head, store.Revision, error) {
	var h head
	if err := cbor.Unmarshal(entry.Value, &h); err != nil {
		return head{}, 0, fmt.Errorf("%w: head: %w", errCorrupt, err)
	}
	return h, entry.Revision, nil
}

// writeHead replaces the head if the stored one has the expected revision.
func (s storage) writeHead(ctx context.Context, h head, expected store.Revision) error {
	encoded, err := cbor.Marshal(h)
	if err != nil {
		return fmt.Errorf("%w: encode head: %w", store.ErrUnavailable, err)
	}
	ctx, cancel := s.withTimeout(ctx)
	defer cancel()
	_, err = s.store.CompareAndSwap(ctx, s.headKey(), expected, encoded, 0)
	return err
}

// loadHead loads the content of the head's version.
func (s storage) loadHead(ctx context.Context, h head, known ...*loadedVersion) (*content, error) {
	if len(h.Inline) > 0 || h.Version.Size == 0 {
		return checkRoot(newContent(Value{Parts: h.Inline}), h.Version)
	}
	if hashes, ok := h.manifest(known...); ok {
		return s.loadContent(ctx, hashes, known...)
	}
	return s.load(ctx, h.Version, known...)
}

// load reads the content of a version, except for parts that the known versions
// already contain.
func (s storage) load(ctx context.Context, version Version, known ...*loadedVersion) (*content, error) {
	hashes, err := s.loadManifest(ctx, version, known...)
	if err != nil {
		return nil, err
	}
	return s.loadContent(ctx, hashes, known...)
}

func (s storage) loadContent(ctx context.Context, hashes []Hash, known ...*loadedVersion) (*content, error) {
	parts, missing := findKnownParts(hashes, known...)
	if err := s.loadParts(ctx, hashes, parts, missing); err != nil {
		return nil, err
	}
	return newContentFromParts(parts, hashes), nil
}

func checkRoot(c *content, version Version) (*content, error) {
	if c.root != version.Root {
		return nil, fmt.Errorf("%w: generation %d", errCorrupt, version.Generation)
	}
	return c, nil
}

func (s storage) loadManifest(ctx context.Context, version Version, known ...*loadedVersion) ([]Hash, error) {
	for _, k := range known {
		if k != nil && k.content.root == version.Root {
			return k.content.hashes, nil
		}
	}
	manifest, err := s.getPart(ctx, version.Root)
	if err != nil {
		return nil, err
	}
	return decodeManifest(manifest, version.Root)
}

// findKnownParts returns the parts that the known versions contain, and the indexes
// of the missing ones.
func findKnownParts(hashes []Hash, known ...*loadedVersion) (parts [][]byte, missing []int) {
	parts = make([][]byte, len(hashes))
	for i, h := range hashes {
		parts[i] = findPart(h, known...)
		if parts[i] == nil {
			missing = append(missing, i)
		}
	}
	return parts, missing
}

func findPart(h Hash, known ...*loadedVersion) []byte {
	for _, k := range known {
		if part, ok := k.part(h); ok {
			return part
		}
	}
	return nil
}

func (s storage) loadParts(ctx context.Context, hashes []Hash, parts [][]byte, missing []int) error {
	if len(missing) >= listThreshold {
		missing = s.listParts(ctx, hashes, parts, missing)
	}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentStoreCalls)
	for _, i := range missing {
		group.Go(func() (err error) {
			parts[i], err = s.getPart(ctx, hashes[i])
			return err
		})
	}
	return group.Wait()
}

// listParts fills in parts from one listing and returns the indexes of those still
// missing. After an error all are missing and are read one by one.
func (s storage) listParts(ctx context.Context, hashes []Hash, parts [][]byte, missing []int) []int {
	ctx, cancel := s.withTimeout(ctx)
	defer cancel()
	entries, err := s.store.List(ctx, s.partPrefix())
	if err != nil {
		return missing
	}
	listed := make(map[Hash][]byte, len(entries))
	for _, entry := range entries {
		listed[hashOf(entry.Value)] = entry.Value
	}
	var remaining []int
	for _, i := range missing {
		parts[i] = listed[hashes[i]]
		if parts[i] == nil {
			remaining = append(remaining, i)
		}
	}
	return remaining
}

func (s storage) getPart(ctx context.Context, h Hash) ([]byte, error) {
	ctx, cancel := s.withTimeout(ctx)
	defer cancel()
	entry, err := s.store.Get(ctx, s.partKey(h))
	if err != nil {
		return nil, err
	}
	if hashOf(entry.Value) != h {
		return nil, fmt.Errorf("%w: part %s", errCorrupt, h)
	}
	return entry.Value, nil
}

// putContent writes the manifest and all parts, except for those that the stored head
// refers to, which are not garbage collected while it does.
func (s storage) putContent(ctx context.Context, c *content, stored []Hash) error {
	present := make(map[Hash]bool, len(stored))
	for _, h := range stored {
		present[h] = true
	}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentStoreCalls)
	for i, h := range c.hashes {
		if present[h] {
			continue
		}
		present[h] = true
		group.Go(func() error { return s.putPart(ctx, h, c.parts[i]) })
	}
	group.Go(func() error { return s.putPart(ctx, c.root, encodeManifest(c.hashes)) })
	return group.Wait()
}

// putPart ensures that a part is stored. An existing part is written again to give
// it a new revision, so that a concurrent deletion by the collector fails.
func (s storage) putPart(ctx context.Context, h Hash, data []byte) error {
	var expected store.Revision
	for ctx.Err() == nil {
		err := s.tryPutPart(ctx, h, expected, data)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, store.ErrConflict):
			before := expected
			expected, err = s.partRevision(ctx, h)
			if err != nil {
				return err
			}
			if expected == before {
				pause(ctx, meanStoreRetryDelay) // The read was stale.
			}
		case errors.Is(err, store.ErrUnknownOutcome):
			pause(ctx, meanStoreRetryDelay)
		default:
			return err
		}
	}
	return fmt.Errorf("%w: part %s: %w", store.ErrUnavailable, h, context.Cause(ctx))
}

func (s storage) tryPutPart(ctx context.Context, h Hash, expected store.Revision, data []byte) error {
	ctx, cancel := s.withTimeout(ctx)
	defer cancel()
	_, err := s.store.CompareAndSwap(ctx, s.partKey(h), expected, data, 0)
	return err
}

// partRevision returns the revision of a part, or zero if it is not stored.
func (s storage) partRevision(ctx context.Context, h Hash) (store.Revision, error) {
	ctx, cancel := s.withTimeout(ctx)
	defer cancel()
	entry, err := s.store.Get(ctx, s.partKey(h))
	if errors.Is(err, store.ErrNotFound) {
		return 0, nil
	}
	return entry.Revision, err
}

// pause waits for jitter(mean), or until the context ends.
func pause(ctx context.Context, mean time.Duration) { pacing.Sleep(ctx, jitter(mean)) }

// jitter returns a random duration, uniform between zero and twice the mean.
func jitter(mean time.Duration) time.Duration {
	return time.Duration(rand.Int64N(2*int64(mean) + 1))
}
