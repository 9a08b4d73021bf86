package ledger

import (
	"bytes"
	"context"
	"slices"
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// exportSession is a collection that another member has started: the keys of which it is
// the home and this member has records.
type exportSession struct {
	epoch uint64
	keys  []KeyHash
}

// serveCollect sends a home the records of its keys. A member that has answered takes
// part in no commit of an earlier epoch.
func (r *Replica) serveCollect(ctx context.Context, from domain.Member, request collectRequest) collectReply {
	r.catchUp(ctx, from, request.Epoch)
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.history.Load()
	if h == nil || h.table.Epoch != request.Epoch || !h.table.Contains(r.self) {
		return collectReply{Status: statusStale, Epoch: r.epoch()}
	}
	now := time.Now()
	s := r.exportFor(h, from, request)
	reply := collectReply{Status: statusOK, Epoch: request.Epoch}
	page := s.after(request.After)
	if len(page) > r.options.PageRecords {
		page = page[:r.options.PageRecords]
		reply.Next = &page[len(page)-1]
	} else {
		delete(r.exports, from.Node)
	}
	reply.Entries = r.exportEntries(page, now)
	return reply
}

// exportFor returns the session that the request belongs to. The lock is held.
func (r *Replica) exportFor(h *history, from domain.Member, request collectRequest) *exportSession {
	if s := r.exports[from.Node]; s != nil && s.epoch == request.Epoch && request.After != nil {
		return s
	}
	s := &exportSession{request.Epoch, r.keysOf(h, from)}
	r.exports[from.Node] = s
	return s
}

// keysOf returns the keys whose home is the given member and of which this member has
// records. The lock is held.
func (r *Replica) keysOf(h *history, home domain.Member) []KeyHash {
	return r.records.keys(func(key KeyHash, rec record) bool {
		if !rec.tableScoped() {
			return false
		}
		m, ok := h.home(key)
		return ok && m.SameIncarnation(home)
	})
}

// after returns the keys greater than the cursor.
func (s *exportSession) after(cursor *KeyHash) []KeyHash {
	if cursor == nil {
		return s.keys
	}
	i, found := slices.BinarySearchFunc(s.keys, *cursor, func(a, b KeyHash) int { return bytes.Compare(a[:], b[:]) })
	if found {
		i++
	}
	return s.keys[i:]
}

// exportEntries returns the wire form of those records that still exist. The lock is
// held.
func (r *Replica) exportEntries(keys []KeyHash, now time.Time) []entry {
	entries := make([]entry, 0, len(keys))
	for _, key := range keys {
		if rec, ok := r.records.get(key); ok {
			entries = append(entries, r.records.toEntry(key, rec, now))
		}
	}
	return entries
}
