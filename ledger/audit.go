package ledger

import (
	"context"
	"time"
)

// auditItem is an old record whose request has not ended.
type auditItem struct {
	query holderQuery
	// isHome is set if this incarnation is the key's home; otherwise it holds a copy.
	isHome bool
	// holderEnded is set if the holder's incarnation has ended.
	holderEnded bool
}

// audit checks records that have been unfinished for the whole retention period, one
// page at a time: a message that ended them may have been lost.
func (r *Replica) audit(ctx context.Context) {
	for _, item := range r.overdueRecords() {
		switch {
		case !item.isHome:
			r.auditCopy(ctx, item.query)
		case item.holderEnded:
			r.closeAbandoned(item.query)
		default:
			r.resolveWithHolder(ctx, item.query)
		}
	}
}

// overdueRecords expires ended records and returns a page of those that should have
// ended.
func (r *Replica) overdueRecords() []auditItem {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.records.expire(now)
	limit := r.records.timestamp(now) - int64(r.options.Retention)
	var list []auditItem
	for key, rec := range r.records.byKey {
		if len(list) == r.options.PageRecords {
			break
		}
		if rec.state.ended() || rec.since > limit || r.inUse(key, rec) {
			continue
		}
		list = append(list, r.newAuditItem(key, rec))
	}
	return list
}

// inUse reports whether this incarnation is still working on the record's request. The
// lock is held.
func (r *Replica) inUse(key KeyHash, rec record) bool {
	_, open := r.open[openAttempt{key, rec.attempt}]
	return open && r.records.members.value(rec.holder).SameIncarnation(r.self)
}

// newAuditItem describes an old record. The lock is held.
func (r *Replica) newAuditItem(key KeyHash, rec record) auditItem {
	home := rec.has(flagNodeScope)
	if h := r.history.Load(); rec.tableScoped() && h != nil {
		m, ok := h.home(key)
		home = ok && m.SameIncarnation(r.self)
	}
	return auditItem{
		query:       *r.newHolderQuery(key, rec),
		isHome:      home,
		holderEnded: r.holderEnded(rec),
	}
}

// closeAbandoned ends a record whose holder has ended and that no attempt has claimed.
func (r *Replica) closeAbandoned(q holderQuery) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec, ok := r.records.get(q.key)
	if !ok || rec.claim != q.claim || rec.state != q.state {
		return
	}
	if rec.state == StateClaimed {
		r.records.drop(q.key)
		return
	}
	r.records.set(q.key, rec, StateFailed, time.Now())
}

// auditCopy fetches the state of a copied record from the key's home.
func (r *Replica) auditCopy(ctx context.Context, q holderQuery) {
	h := r.history.Load()
	if q.outsideTable || h == nil {
		r.closeAbandoned(q)
		return
	}
	home, ok := h.home(q.key)
	if !ok {
		return
	}
	reply, err := callOnce(ctx, r, route{home, h.table.Epoch}, homeCall[lookupRequest, lookupReply]{
		method:  methodLookup,
		request: func(at route) lookupRequest { return lookupRequest{q.key, at.epoch} },
		serve:   r.serveLookup,
	})
	switch {
	case err != nil:
	case reply.Status == statusNotFound:
		r.dropCopy(q)
	case reply.Status == statusOK:
		r.mergeFromHome(*reply.Entry)
	}
}

// dropCopy deletes the copy of a record that its home has dropped.
func (r *Replica) dropCopy(q holderQuery) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rec, ok := r.records.get(q.key); ok && rec.claim == q.claim {
		r.records.drop(q.key)
	}
}

// mergeFromHome updates a copy to its home's record.
func (r *Replica) mergeFromHome(e entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records.merge(e, time.Now())
}
