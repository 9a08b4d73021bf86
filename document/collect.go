package document

import (
	"context"
	"errors"
	"fmt"
	"time"

	"hawthornrill.example/hawthornrill/store"
)

// collector deletes unreferenced parts: those of interrupted edits, and those of
// versions no longer in the history.
//
// Before it deletes any, it rewrites the head unchanged as a fence. An edit that
// read the head before the fence fails with a conflict and starts over. An edit that
// reads it afterwards rewrites the parts that it needs, which gives them revisions
// that the deletion does not expect. An accepted version therefore never lacks a
// part, however long an editor or the collector is paused.
type collector struct {
	replica *replica
	// unreferenced records, by key, at which revision and when a part was first found
	// to be unreferenced.
	unreferenced map[string]firstSighting
}

type firstSighting struct {
	revision store.Revision
	at       time.Time
}

func newCollector(r *replica) *collector {
	return &collector{replica: r, unreferenced: make(map[string]firstSighting)}
}

// reset clears the records. It is called while another node collects.
func (c *collector) reset() { clear(c.unreferenced) }

// collect deletes the parts that have been unreferenced for Options.CollectAge.
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
		return fmt.Errorf("rewrite head before deletion: %w", err)
	}
	return c.remove(ctx, due)
}

// referenced returns the keys of the parts to which the head and its history refer.
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
			return nil, fmt.Errorf("%w: manifest of the current version is missing from the listing", errCorrupt)
		}
		if !ok {
			continue // An inline value, or an earlier version whose content is lost.
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

// due updates the records of unreferenced entries and returns those that have been
// unreferenced for long enough.
func (c *collector) due(entries []store.Entry, referenced map[string]bool) []store.Entry {
	var due []store.Entry
	now := time.Now()
	unreferenced := make(map[string]firstSighting)
	for _, entry := range entries {
		if referenced[entry.Key] {
			continue
		}
		first, ok := c.unreferenced[entry.Key]
		if !ok || first.revision != entry.Revision {
			first = firstSighting{revision: entry.Revision, at: now}
		}
		unreferenced[entry.Key] = first
		if now.Sub(first.at) >= c.replica.service.options.CollectAge {
			due = append(due, entry)
		}
	}
	c.unreferenced = unreferenced
	return due
}

func (c *collector) remove(ctx context.Context, due []store.Entry) error {
	for _, entry := range due {
		err := c.replica.storage.store.Delete(ctx, entry.Key, entry.Revision)
		switch {
		case err == nil:
			c.replica.service.counters.partsCollected.Inc()
		case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrNotFound):
			// It was written again or is already deleted.
		default:
			return err
		}
	}
	return nil
}
