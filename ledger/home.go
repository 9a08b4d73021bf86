package ledger

import (
	"context"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/membership"
)

// desk is what a home needs to decide about one key under the lock.
type desk struct {
	// history is nil for keys of node scope.
	history *history
	now     time.Time
}

// epoch is that of the desk's table, or zero.
func (d desk) epoch() uint64 {
	if d.history == nil {
		return 0
	}
	return d.history.table.Epoch
}

// openDesk prepares for a message about a key: it catches up with the sender's epoch,
// takes the lock and checks that this member decides about the key. The lock is
// held on return, whatever the status.
func (r *Replica) openDesk(ctx context.Context, from domain.Member, key KeyHash, epoch uint64) (desk, status) {
	r.catchUp(ctx, from, epoch)
	r.mu.Lock()
	now := time.Now()
	r.book.expire(now)
	if epoch == 0 {
		return desk{nil, now}, statusOK
	}
	h := r.history.Load()
	if h == nil || h.table.Epoch < epoch {
		return desk{h, now}, statusStale
	}
	if home, ok := h.home(key); !ok || !home.SameIncarnation(r.self) {
		return desk{h, now}, statusStale
	}
	return desk{h, now}, statusOK
}

// knows reports whether this member has every record of the key that any other
// may hold. The lock is held.
func (r *Replica) knows(d desk, key KeyHash) bool {
	if d.history == nil || r.ready == d.epoch() {
		return true
	}
	return r.ready != 0 && d.history.homeSince(r.self, key, r.ready)
}

// unseen says what to answer for a key without a record: statusOK if it is
// certainly new. The lock is held.
func (r *Replica) unseen(d desk, key KeyHash) status {
	if d.history == nil {
		return statusOK
	}
	if !r.knows(d, key) {
		return statusRecovering
	}
	if d.history.uncertain(key, r.options.LossWindow(), r.lossAge(d.now)) {
		return statusUnknown
	}
	return statusOK
}

// mayDecide reports whether this home may give or commit claims. The lock is held.
func (r *Replica) mayDecide(d desk) bool {
	return d.history == nil || !r.fenced(d.history, d.now)
}

// holderGone reports whether the life that holds a record's claim has ended. A
// member of the table is gone when it is no longer in it; of other lives,
// membership tells. The lock is held.
func (r *Replica) holderGone(rec record) bool {
	holder := r.book.members.value(rec.holder)
	if holder.SameIncarnation(r.self) {
		return false
	}
	if rec.has(flagMember) {
		return !r.history.Load().table.Contains(holder)
	}
	return r.lifeGone(holder)
}

// mayTakeOver reports whether a newcomer may have the claim of a record that has
// not ended. A commit is never dispatched again, so that membership's word is
// enough for it; a claim is revoked only when its holder can't come back.
// The lock is held.
func (r *Replica) mayTakeOver(rec record) bool {
	switch rec.state {
	case StateClaimed:
		return r.holderGone(rec)
	case StateCommitted:
		return r.holderGone(rec) || r.lifeGone(r.book.members.value(rec.holder))
	}
	return false
}

// lifeGone reports whether membership says that a life has ended.
func (r *Replica) lifeGone(member domain.Member) bool {
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
