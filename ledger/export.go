package ledger

import (
	"bytes"
	"context"
	"slices"
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// export is a collection that another member has begun: the keys that it is the
// home of and that this member has records of.
type export struct {
	epoch uint64
	keys  []KeyHash
}

// serveCollect gives a home the records of its keys. A member that has answered
// takes part in no commit of an earlier epoch.
func (r *Replica) serveCollect(ctx context.Context, from domain.Member, request collectRequest) collectReply {
	r.catchUp(ctx, from, request.Epoch)
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.history.Load()
	if h == nil || h.table.Epoch != request.Epoch || !h.table.Contains(r.self) {
		return collectReply{Status: statusStale, Epoch: r.epoch()}
	}
	now := time.Now()
	x := r.exportFor(h, from, request)
	reply := collectReply{Status: statusOK, Epoch: request.Epoch}
	page := x.after(request.After)
	if len(page) > r.options.PageRecords {
		page = page[:r.options.PageRecords]
		reply.Next = &page[len(page)-1]
	} else {
		delete(r.exports, from.Node)
	}
	reply.Entries = r.exportEntries(page, now)
	return reply
}

// exportFor returns the collection that the request belongs to. The lock is held.
func (r *Replica) exportFor(h *history, from domain.Member, request collectRequest) *export {
	if x := r.exports[from.Node]; x != nil && x.epoch == request.Epoch && request.After != nil {
		return x
	}
	x := &export{request.Epoch, r.keysOf(h, from)}
	r.exports[from.Node] = x
	return x
}

// keysOf returns the keys that this member has records of and whose home is the
// given one. The lock is held.
func (r *Replica) keysOf(h *history, home domain.Member) []KeyHash {
	return r.book.keys(func(key KeyHash, rec record) bool {
		if !rec.tabled() {
			return false
		}
		m, ok := h.home(key)
		return ok && m.SameIncarnation(home)
	})
}

// after returns the keys greater than the cursor.
func (x *export) after(cursor *KeyHash) []KeyHash {
	if cursor == nil {
		return x.keys
	}
	i, found := slices.BinarySearchFunc(x.keys, *cursor, func(a, b KeyHash) int { return bytes.Compare(a[:], b[:]) })
	if found {
		i++
	}
	return x.keys[i:]
}

// exportEntries spells out the records that are still there. The lock is held.
func (r *Replica) exportEntries(keys []KeyHash, now time.Time) []entry {
	entries := make([]entry, 0, len(keys))
	for _, key := range keys {
		if rec, ok := r.book.get(key); ok {
			entries = append(entries, r.book.export(key, rec, now))
		}
	}
	return entries
}
