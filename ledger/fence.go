package ledger

import (
	"context"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

// A member that was removed from the table by mistake and is partitioned from the
// others does not learn of the removal. It may act as a home for no longer than
// Options.FenceTimeout after half of the other members last confirmed that they had no
// later epoch.

// noteConfirmed records that a member had no later epoch than this one at some time
// after the call it has replied to was made. Unsolicited messages prove nothing,
// because they may have been delayed on the way or in a local queue.
func (r *Replica) noteConfirmed(from domain.Member, epoch uint64, called time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.history.Load()
	if h == nil || epoch == 0 || epoch > h.table.Epoch || !h.table.Contains(from) {
		return
	}
	if called.After(r.lastConfirmed[from]) {
		r.lastConfirmed[from] = called
	}
}

// dropFormerMembers deletes the state kept for incarnations that are no longer in the
// table. The lock is held.
func (r *Replica) dropFormerMembers(h *history) {
	for member := range r.lastConfirmed {
		if !h.table.Contains(member) {
			delete(r.lastConfirmed, member)
		}
	}
	for member := range r.unresponsive {
		if !h.table.Contains(member) {
			delete(r.unresponsive, member)
		}
	}
}

// fenced reports whether too few members have confirmed the epoch recently or, for an
// only member, the store was not checked recently. The lock is held.
func (r *Replica) fenced(h *history, now time.Time) bool {
	members := h.current()
	if len(members) == 1 && r.options.Editor != nil {
		return now.Sub(r.storeCheckedAt) > r.options.FenceTimeout
	}
	confirmed := 0
	for _, c := range members {
		if at, ok := r.lastConfirmed[c.member]; ok && now.Sub(at) <= r.options.FenceTimeout {
			confirmed++
		}
	}
	return confirmed < len(members)/2
}

// unfenced reports whether enough members have confirmed the epoch to decide about
// keys.
func (r *Replica) unfenced() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.history.Load()
	return h != nil && !r.fenced(h, time.Now())
}

// confirmAll calls the members that have not confirmed the epoch recently.
func (r *Replica) confirmAll(ctx context.Context) {
	h := r.history.Load()
	if h == nil || !h.table.Contains(r.self) {
		return
	}
	if len(h.current()) == 1 {
		r.checkStore(ctx)
	}
	forEachMember(r.dueForConfirmation(h), func(m domain.Member) { r.confirm(ctx, m, h.table.Epoch) })
}

// checkStore looks for a later table in the store when there is no other member to
// learn of it from. While the store can't be reached the only member goes on.
func (r *Replica) checkStore(ctx context.Context) {
	if r.options.Editor == nil {
		return
	}
	started := time.Now()
	t, err := r.options.Editor.Edit(ctx, noChange)
	if err == nil {
		r.adopt(t)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeCheckedAt = started
}

// noChange is a TableChange that only reads the table.
func noChange(t *Table) (*Table, error) { return t, nil }

// dueForConfirmation returns the members without a confirmation in the last half of
// FenceTimeout.
func (r *Replica) dueForConfirmation(h *history) []domain.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	var members []domain.Member
	for _, c := range h.current() {
		at, ok := r.lastConfirmed[c.member]
		if !c.member.SameIncarnation(r.self) && (!ok || now.Sub(at) > r.options.FenceTimeout/2) {
			members = append(members, c.member)
		}
	}
	return members
}

// confirm queries a member whether it is in the epoch, and catches up if it has a later
// one. It reports whether the member is in the epoch.
func (r *Replica) confirm(ctx context.Context, member domain.Member, epoch uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, r.options.nestedTimeout())
	defer cancel()
	called := time.Now()
	reply, err := peer.Call[confirmRequest, statusReply](ctx, r.transport, member, methodConfirm, confirmRequest{epoch})
	if err != nil {
		r.markUnresponsive(member)
		return false
	}
	r.noteConfirmed(member, reply.Epoch, called)
	r.catchUp(ctx, member, reply.Epoch)
	return reply.Status == statusOK
}

// confirmWithAny queries the key's witness candidates in turn until one is in the epoch.
// It reports true for an only member, which has no other to query.
func (r *Replica) confirmWithAny(ctx context.Context, h *history, key KeyHash) bool {
	candidates := r.witnessCandidates(h, key)
	for _, member := range candidates {
		if r.confirm(ctx, member, h.table.Epoch) {
			return true
		}
	}
	return len(candidates) == 0
}

// serveConfirm answers whether this member is in the epoch.
func (r *Replica) serveConfirm(ctx context.Context, from domain.Member, request confirmRequest) statusReply {
	r.catchUp(ctx, from, request.Epoch)
	epoch := r.epoch()
	if epoch != request.Epoch {
		return statusReply{statusStale, epoch}
	}
	return statusReply{statusOK, epoch}
}
