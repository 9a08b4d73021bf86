package follow

import (
	"sync"
	"time"

	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/routetable"
)

// A peer that lacks the active configuration is sent the changes since its version, if this node has seen them, and
// otherwise the document. The change that removes a key takes some hundred bytes, whatever the size of the document.

const (
	// maxChangeEntries bounds the number of changes kept for peers, changeRetention their age: it takes a few reports until
	// a peer reports that it has a change.
	maxChangeEntries = 8
	changeRetention  = 30 * time.Second
)

// changeHistory holds the latest configuration changes, each of which applies to the result of the one before.
type changeHistory struct {
	mu      sync.Mutex
	entries []changeEntry
}

type changeEntry struct {
	change *routetable.Change
	at     boottime.Instant
}

func (h *changeHistory) add(now boottime.Instant, from, to *routetable.Table) {
	change := routetable.Diff(from, to)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.entries = append(h.entries, changeEntry{change, now})
	for len(h.entries) > maxChangeEntries || now.Sub(h.entries[0].at) > changeRetention {
		h.entries = h.entries[1:]
	}
}

// since returns the changes from the version to the latest one, nil if they are not known.
func (h *changeHistory) since(version uint64) []*routetable.Change {
	h.mu.Lock()
	defer h.mu.Unlock()
	var changes []*routetable.Change
	for _, entry := range h.entries {
		if entry.change.From == version || len(changes) > 0 {
			changes = append(changes, entry.change)
		}
	}
	return changes
}

// ConfigurationSince returns what brings a peer with the version up to date: the changes since that version, if known, and
// the document as written by the operators, if this node has it.
func (f *Follower) ConfigurationSince(version uint64) (changes []*routetable.Change, document []byte) {
	if c := f.current.Load(); c != nil {
		document = c.document
	}
	return f.recentChanges.since(version), document
}
