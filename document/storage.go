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
	keyRoot = "documents/"
	// inlineBytes is up to where a value without history is kept in the head.
	inlineBytes = 64 << 10
	// listFrom is from how many missing parts on they are listed in one call
	// instead of being read one by one.
	listFrom = 64
	// storeParallel bounds the calls at a time for one version's parts.
	storeParallel = 8
	// storeRetry is the mean pause before a write is tried again.
	storeRetry = 50 * time.Millisecond
)

// storage is one document's place in the store.
type storage struct {
	store   store.Store
	name    string
	timeout time.Duration
}

func (s storage) prefix() string        { return keyRoot + url.PathEscape(s.name) + "/" }
func (s storage) headKey() string       { return s.prefix() + "head" }
func (s storage) partPrefix() string    { return s.prefix() + "part/" }
func (s storage) partKey(h Hash) string { return s.partPrefix() + h.String() }
func (s storage) short(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, s.timeout)
}

// readHead returns the head with its revision; zero revision if there is none.
func (s storage) readHead(ctx context.Context) (head, store.Revision, error) {
	ctx, cancel := s.short(ctx)
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

// writeHead replaces the head if its revision is the expected one.
func (s storage) writeHead(ctx context.Context, h head, expected store.Revision) error {
	encoded, err := cbor.Marshal(h)
	if err != nil {
		return fmt.Errorf("%w: encode head: %w", store.ErrUnavailable, err)
	}
	ctx, cancel := s.short(ctx)
	defer cancel()
	_, err = s.store.CompareAndSwap(ctx, s.headKey(), expected, encoded, 0)
	return err
}

// loadHead reads the content of a head's version.
func (s storage) loadHead(ctx context.Context, h head, known ...*held) (*content, error) {
	if len(h.Inline) > 0 || h.Version.Size == 0 {
		return checkRoot(newContent(Value{Parts: h.Inline}), h.Version)
	}
	if hashes, ok := h.manifest(known...); ok {
		return s.loadContent(ctx, hashes, known...)
	}
	return s.load(ctx, h.Version, known...)
}

// load reads the content of a version. Parts that the known versions have are
// not read again.
func (s storage) load(ctx context.Context, version Version, known ...*held) (*content, error) {
	hashes, err := s.loadManifest(ctx, version, known...)
	if err != nil {
		return nil, err
	}
	return s.loadContent(ctx, hashes, known...)
}

func (s storage) loadContent(ctx context.Context, hashes []Hash, known ...*held) (*content, error) {
	parts, missing := collectParts(hashes, known...)
	if err := s.loadParts(ctx, hashes, parts, missing); err != nil {
		return nil, err
	}
	return contentOf(parts, hashes), nil
}

func checkRoot(c *content, version Version) (*content, error) {
	if c.root != version.Root {
		return nil, fmt.Errorf("%w: generation %d", errCorrupt, version.Generation)
	}
	return c, nil
}

func (s storage) loadManifest(ctx context.Context, version Version, known ...*held) ([]Hash, error) {
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

// collectParts takes what is known of the parts and returns the indexes of the
// others.
func collectParts(hashes []Hash, known ...*held) (parts [][]byte, missing []int) {
	parts = make([][]byte, len(hashes))
	for i, h := range hashes {
		parts[i] = findPart(h, known...)
		if parts[i] == nil {
			missing = append(missing, i)
		}
	}
	return parts, missing
}

func findPart(h Hash, known ...*held) []byte {
	for _, k := range known {
		if part, ok := k.part(h); ok {
			return part
		}
	}
	return nil
}

func (s storage) loadParts(ctx context.Context, hashes []Hash, parts [][]byte, missing []int) error {
	if len(missing) >= listFrom {
		missing = s.listParts(ctx, hashes, parts, missing)
	}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(storeParallel)
	for _, i := range missing {
		group.Go(func() (err error) {
			parts[i], err = s.getPart(ctx, hashes[i])
			return err
		})
	}
	return group.Wait()
}

// listParts fills in what one listing has and returns what is still missing; an
// error only means that the parts are read one by one.
func (s storage) listParts(ctx context.Context, hashes []Hash, parts [][]byte, missing []int) []int {
	ctx, cancel := s.short(ctx)
	defer cancel()
	entries, err := s.store.List(ctx, s.partPrefix())
	if err != nil {
		return missing
	}
	listed := make(map[Hash][]byte, len(entries))
	for _, entry := range entries {
		listed[hashOf(entry.Value)] = entry.Value
	}
	var still []int
	for _, i := range missing {
		parts[i] = listed[hashes[i]]
		if parts[i] == nil {
			still = append(still, i)
		}
	}
	return still
}

func (s storage) getPart(ctx context.Context, h Hash) ([]byte, error) {
	ctx, cancel := s.short(ctx)
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

// putContent writes the manifest and all parts but those that the stored head
// refers to, which can't be collected while it does.
func (s storage) putContent(ctx context.Context, c *content, stored []Hash) error {
	present := make(map[Hash]bool, len(stored))
	for _, h := range stored {
		present[h] = true
	}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(storeParallel)
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

// putPart makes sure that a part is there. One that is there already is written
// again, so that a collector that had its eye on it loses the race.
func (s storage) putPart(ctx context.Context, h Hash, data []byte) error {
	var expected store.Revision
	for ctx.Err() == nil {
		err := s.swapPart(ctx, h, expected, data)
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
				pause(ctx, storeRetry) // An old value was read.
			}
		case errors.Is(err, store.ErrUnknownOutcome):
			pause(ctx, storeRetry)
		default:
			return err
		}
	}
	return fmt.Errorf("%w: part %s: %w", store.ErrUnavailable, h, context.Cause(ctx))
}

func (s storage) swapPart(ctx context.Context, h Hash, expected store.Revision, data []byte) error {
	ctx, cancel := s.short(ctx)
	defer cancel()
	_, err := s.store.CompareAndSwap(ctx, s.partKey(h), expected, data, 0)
	return err
}

// partRevision returns the revision of a part; zero if it is not there.
func (s storage) partRevision(ctx context.Context, h Hash) (store.Revision, error) {
	ctx, cancel := s.short(ctx)
	defer cancel()
	entry, err := s.store.Get(ctx, s.partKey(h))
	if errors.Is(err, store.ErrNotFound) {
		return 0, nil
	}
	return entry.Revision, err
}

// pause waits for a random time around the mean, or until the context ends.
func pause(ctx context.Context, mean time.Duration) { pacing.Sleep(ctx, jitter(mean)) }

// jitter returns a random duration between zero and twice the mean.
func jitter(mean time.Duration) time.Duration {
	return time.Duration(rand.Int64N(2*int64(mean) + 1))
}
