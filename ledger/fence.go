package ledger

import (
	"context"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

// A member that was taken out of the table by mistake and is cut off from the
// others does not learn of it. It may act as a home for no longer than
// Options.FenceTimeout after it last heard from half of the other members that
// they had no later epoch.

// hear notes that a member had no epoch later than this one's at some time after
// the call it has replied to was made. What others send of their own accord proves
// nothing: it may have been on its way, or waiting here, for long.
func (r *Replica) hear(from domain.Member, epoch uint64, called time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.history.Load()
	if h == nil || epoch == 0 || epoch > h.table.Epoch || !h.table.Contains(from) {
		return
	}
	if called.After(r.heard[from]) {
		r.heard[from] = called
	}
}

// forgetUnheard drops lives that are no longer in the table. The lock is held.
func (r *Replica) forgetUnheard(h *history) {
	for member := range r.heard {
		if !h.table.Contains(member) {
			delete(r.heard, member)
		}
	}
	for member := range r.silent {
		if !h.table.Contains(member) {
			delete(r.silent, member)
		}
	}
}

// fenced reports whether too few members have been heard, or the only one has not
// asked the store. The lock is held.
func (r *Replica) fenced(h *history, now time.Time) bool {
	members := h.current()
	if len(members) == 1 && r.options.Editor != nil {
		return now.Sub(r.storeAsked) > r.options.FenceTimeout
	}
	heard := 0
	for _, c := range members {
		if at, ok := r.heard[c.member]; ok && now.Sub(at) <= r.options.FenceTimeout {
			heard++
		}
	}
	return heard < len(members)/2
}

// decides reports whether enough members have been heard to decide about keys.
func (r *Replica) decides() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.history.Load()
	return h != nil && !r.fenced(h, time.Now())
}

// confirmAll asks the members that have not been heard of lately.
func (r *Replica) confirmAll(ctx context.Context) {
	h := r.history.Load()
	if h == nil || !h.table.Contains(r.self) {
		return
	}
	if len(h.current()) == 1 {
		r.askStore(ctx)
	}
	eachOf(r.quiet(h), func(m domain.Member) { r.confirm(ctx, m, h.table.Epoch) })
}

// askStore looks for a later table in the store, when there is no other member to
// hear of it from. While the store can't be reached the only member goes on.
func (r *Replica) askStore(ctx context.Context) {
	if r.options.Editor == nil {
		return
	}
	asked := time.Now()
	t, err := r.options.Editor.Edit(ctx, noChange)
	if err == nil {
		r.adopt(t)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeAsked = asked
}

// noChange only reads the table.
func noChange(t *Table) (*Table, error) { return t, nil }

// quiet returns the members not heard of for half of the fence's time.
func (r *Replica) quiet(h *history) []domain.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	var members []domain.Member
	for _, c := range h.current() {
		at, ok := r.heard[c.member]
		if !c.member.SameIncarnation(r.self) && (!ok || now.Sub(at) > r.options.FenceTimeout/2) {
			members = append(members, c.member)
		}
	}
	return members
}

// confirm asks one member whether it has the epoch, and catches up if it has a
// later one. It reports whether the epoch is the member's.
func (r *Replica) confirm(ctx context.Context, member domain.Member, epoch uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, r.options.secondTimeout())
	defer cancel()
	called := time.Now()
	reply, err := peer.Call[confirmRequest, statusReply](ctx, r.transport, member, methodConfirm, confirmRequest{epoch})
	if err != nil {
		r.noteSilent(member)
		return false
	}
	r.hear(member, reply.Epoch, called)
	r.catchUp(ctx, member, reply.Epoch)
	return reply.Status == statusOK
}

// confirmOne asks the key's next members in turn until one has the epoch. Alone
// in the table, a member has nobody to ask.
func (r *Replica) confirmOne(ctx context.Context, h *history, key KeyHash) bool {
	others := r.witnesses(h, key)
	for _, member := range others {
		if r.confirm(ctx, member, h.table.Epoch) {
			return true
		}
	}
	return len(others) == 0
}

// serveConfirm tells whether this member has the epoch.
func (r *Replica) serveConfirm(ctx context.Context, from domain.Member, request confirmRequest) statusReply {
	r.catchUp(ctx, from, request.Epoch)
	epoch := r.epoch()
	if epoch != request.Epoch {
		return statusReply{statusStale, epoch}
	}
	return statusReply{statusOK, epoch}
}
