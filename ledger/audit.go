package ledger

import (
	"context"
	"time"
)

// auditWork is an old record that has not ended.
type auditWork struct {
	doubt doubt
	// home tells that this life decides about the key; otherwise it holds a copy.
	home bool
	// gone tells that the holder's life has ended.
	gone bool
}

// audit checks records that have stood unfinished for the whole retention, a page
// of them at a time: a message that ended them may have been lost.
func (r *Replica) audit(ctx context.Context) {
	for _, work := range r.oldRecords() {
		switch {
		case !work.home:
			r.auditCopy(ctx, work.doubt)
		case work.gone:
			r.closeOfGone(work.doubt)
		default:
			r.settleDoubt(ctx, work.doubt)
		}
	}
}

// oldRecords expires what has ended and returns a page of what should have.
func (r *Replica) oldRecords() []auditWork {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.book.expire(now)
	limit := r.book.clock(now) - int64(r.options.Retention)
	var list []auditWork
	for key, rec := range r.book.records {
		if len(list) == r.options.PageRecords {
			break
		}
		if rec.state.ended() || rec.since > limit || r.inUse(key, rec) {
			continue
		}
		list = append(list, r.auditOf(key, rec))
	}
	return list
}

// inUse reports whether this life itself still works on the record's request. The
// lock is held.
func (r *Replica) inUse(key KeyHash, rec record) bool {
	_, open := r.open[openAttempt{key, rec.attempt}]
	return open && r.book.members.value(rec.holder).SameIncarnation(r.self)
}

// auditOf describes an old record. The lock is held.
func (r *Replica) auditOf(key KeyHash, rec record) auditWork {
	home := rec.has(flagNodeScope)
	if h := r.history.Load(); rec.tabled() && h != nil {
		m, ok := h.home(key)
		home = ok && m.SameIncarnation(r.self)
	}
	return auditWork{
		doubt: *r.doubtAbout(key, rec),
		home:  home,
		gone:  r.holderGone(rec),
	}
}

// closeOfGone ends a record whose holder is gone and that nobody has asked for.
func (r *Replica) closeOfGone(q doubt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec, ok := r.book.get(q.key)
	if !ok || rec.claim != q.claim || rec.state != q.state {
		return
	}
	if rec.state == StateClaimed {
		r.book.drop(q.key)
		return
	}
	r.book.set(q.key, rec, StateFailed, time.Now())
}

// auditCopy asks the key's home what became of a copy.
func (r *Replica) auditCopy(ctx context.Context, q doubt) {
	h := r.history.Load()
	if q.scoped || h == nil {
		r.closeOfGone(q)
		return
	}
	home, ok := h.home(q.key)
	if !ok {
		return
	}
	reply, err := try(ctx, r, route{home, h.table.Epoch}, exchange[lookupRequest, lookupReply]{
		method:  methodLookup,
		request: func(at route) lookupRequest { return lookupRequest{q.key, at.epoch} },
		serve:   r.serveLookup,
	})
	switch {
	case err != nil:
	case reply.Status == statusNotFound:
		r.dropCopy(q)
	case reply.Status == statusOK:
		r.takeWord(*reply.Entry)
	}
}

// dropCopy forgets a copy of a record that its home has dropped.
func (r *Replica) dropCopy(q doubt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rec, ok := r.book.get(q.key); ok && rec.claim == q.claim {
		r.book.drop(q.key)
	}
}

// takeWord brings a copy up to its home's record.
func (r *Replica) takeWord(e entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.book.merge(e, time.Now())
}
