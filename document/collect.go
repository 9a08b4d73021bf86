package document

import (
	"context"
	"errors"
	"fmt"
	"time"

	"hawthornrill.example/hawthornrill/store"
)

// collector removes parts that nothing refers to: what interrupted edits left
// behind, and what has fallen out of the history.
//
// Before it deletes, it writes the head again unchanged. An edit that read the
// head before that fails and starts anew; an edit that reads it afterwards writes
// the parts it needs again, which gives them a revision that the deletion does
// not expect. So no accepted version ever lacks a part, however long an editor
// or the collector is paused.
type collector struct {
	replica *replica
	// seen has when a part at a revision was first seen without a reference.
	seen map[string]sighting
}

type sighting struct {
	revision store.Revision
	at       time.Time
}

func newCollector(r *replica) *collector {
	return &collector{replica: r, seen: make(map[string]sighting)}
}

// forget drops what was seen, when another node collects.
func (c *collector) forget() { clear(c.seen) }

// collect deletes the parts that have been without a reference for long enough.
func (c *collector) collect(ctx context.Context) error {
	s := c.replica.storage
	stored, revision, err := s.readHead(ctx)
	if err != nil {
		return err
	}
	entries, err := s.store.List(ctx, s.partPrefix())
	if err != nil {
		return err
	}
	referenced, err := c.referenced(stored, entries)
	if err != nil {
		return err
	}
	due := c.due(entries, referenced)
	if len(due) == 0 {
		return nil
	}
	if err := s.writeHead(ctx, stored, revision); err != nil {
		return fmt.Errorf("fence: %w", err)
	}
	return c.remove(ctx, due)
}

// referenced returns the keys that the head and its history need.
func (c *collector) referenced(stored head, entries []store.Entry) (map[string]bool, error) {
	s := c.replica.storage
	values := make(map[string][]byte, len(entries))
	for _, entry := range entries {
		values[entry.Key] = entry.Value
	}
	referenced := make(map[string]bool)
	for i, version := range append([]Version{stored.Version}, stored.History...) {
		key := s.partKey(version.Root)
		referenced[key] = true
		manifest, ok := values[key]
		if !ok && i == 0 && len(stored.Inline) == 0 && version.Size > 0 {
			return nil, fmt.Errorf("%w: the current manifest is not listed", errCorrupt)
		}
		if !ok {
			continue // An inline value, or an old version whose content is lost.
		}
		hashes, err := decodeManifest(manifest, version.Root)
		if err != nil {
			return nil, err
		}
		for _, h := range hashes {
			referenced[s.partKey(h)] = true
		}
	}
	return referenced, nil
}

// due returns the entries without a reference that are old enough, and notes the
// others.
func (c *collector) due(entries []store.Entry, referenced map[string]bool) []store.Entry {
	var due []store.Entry
	now := time.Now()
	still := make(map[string]sighting)
	for _, entry := range entries {
		if referenced[entry.Key] {
			continue
		}
		first, ok := c.seen[entry.Key]
		if !ok || first.revision != entry.Revision {
			first = sighting{revision: entry.Revision, at: now}
		}
		still[entry.Key] = first
		if now.Sub(first.at) >= c.replica.service.options.CollectAge {
			due = append(due, entry)
		}
	}
	c.seen = still
	return due
}

func (c *collector) remove(ctx context.Context, due []store.Entry) error {
	for _, entry := range due {
		err := c.replica.storage.store.Delete(ctx, entry.Key, entry.Revision)
		switch {
		case err == nil:
			c.replica.service.meters.collected.Inc()
		case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrNotFound):
			// It is in use again, or gone.
		default:
			return err
		}
	}
	return nil
}
