package ledger

import (
	"context"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/membership"
)

// decision is the context in which a home decides about one key under the lock.
type decision struct {
	// history is nil for keys of node scope.
	history *history
	now     time.Time
}

// epoch returns the epoch of the table, or zero for keys of node scope.
func (d decision) epoch() uint64 {
	if d.history == nil {
		return 0
	}
	return d.history.table.Epoch
}

// beginDecision prepares to handle a message about a key: it catches up with the
// sender's epoch, takes the lock and checks that this member is the key's home. The
// lock is held on return, whatever the status.
func (r *Replica) beginDecision(ctx context.Context, from domain.Member, key KeyHash, epoch uint64) (decision, status) {
	r.catchUp(ctx, from, epoch)
	r.mu.Lock()
	now := time.Now()
	r.records.expire(now)
	if epoch == 0 {
		return decision{nil, now}, statusOK
	}
	h := r.history.Load()
	if h == nil || h.table.Epoch < epoch {
		return decision{h, now}, statusStale
	}
	if home, ok := h.home(key); !ok || !home.SameIncarnation(r.self) {
		return decision{h, now}, statusStale
	}
	return decision{h, now}, statusOK
}

// hasFullHistory reports whether this member has every record of the key that any other
// member may hold. The lock is held.
func (r *Replica) hasFullHistory(d decision, key KeyHash) bool {
	if d.history == nil || r.ready == d.epoch() {
		return true
	}
	return r.ready != 0 && d.history.homeSince(r.self, key, r.ready)
}

// absentStatus returns the status for a key without a record: statusOK if the key is
// certainly new. The lock is held.
func (r *Replica) absentStatus(d decision, key KeyHash) status {
	if d.history == nil {
		return statusOK
	}
	if !r.hasFullHistory(d, key) {
		return statusRecovering
	}
	if d.history.uncertain(key, r.options.LossWindow(), r.lossAge(d.now)) {
		return statusUnknown
	}
	return statusOK
}

// mayDecide reports whether this home may grant or commit claims. The lock is held.
func (r *Replica) mayDecide(d decision) bool {
	return d.history == nil || !r.fenced(d.history, d.now)
}

// holderEnded reports whether the incarnation that holds a record's claim has ended. A
// member of the table has ended when the table no longer has it; for other incarnations
// membership decides. The lock is held.
func (r *Replica) holderEnded(rec record) bool {
	holder := r.records.members.value(rec.holder)
	if holder.SameIncarnation(r.self) {
		return false
	}
	if rec.has(flagMember) {
		return !r.history.Load().table.Contains(holder)
	}
	return r.incarnationEnded(holder)
}

// mayTakeOver reports whether another attempt may take over the claim of a record that
// has not ended. A commit is never dispatched again, so that membership's view suffices
// for it; a claim is revoked only when its holder can't return. The lock is held.
func (r *Replica) mayTakeOver(rec record) bool {
	switch rec.state {
	case StateClaimed:
		return r.holderEnded(rec)
	case StateCommitted:
		return r.holderEnded(rec) || r.incarnationEnded(r.records.members.value(rec.holder))
	}
	return false
}

// incarnationEnded reports whether membership considers an incarnation ended.
func (r *Replica) incarnationEnded(member domain.Member) bool {
	if r.options.Membership == nil {
		return false
	}
	for _, p := range r.options.Membership.Current().Peers {
		if p.Node != member.Node {
			continue
		}
		return p.Incarnation > member.Incarnation ||
			p.Incarnation == member.Incarnation && p.Status == membership.StatusGone
	}
	return false
}
