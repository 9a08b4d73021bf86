package ledger

import (
	"context"
	"slices"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

// maxWitnesses is how many members are tried as a second process.
const maxWitnesses = 3

// silentFor is how long a member that did not answer is tried after the others.
const silentFor = 2 * time.Second

// others returns the members to try as the key's second process, the first in
// rendezvous order first, but for those that did not answer lately. The lock is
// held.
func (r *Replica) others(h *history, key KeyHash) []domain.Member {
	now := time.Now()
	members := order(h.current(), key)
	members = slices.DeleteFunc(members, func(m domain.Member) bool { return m.SameIncarnation(r.self) })
	slices.SortStableFunc(members, func(a, b domain.Member) int {
		return r.silence(a, now) - r.silence(b, now)
	})
	return members[:min(maxWitnesses, len(members))]
}

// silence is 1 for a member that did not answer lately, else 0. The lock is held.
func (r *Replica) silence(m domain.Member, now time.Time) int {
	if at, ok := r.silent[m]; ok && now.Sub(at) < silentFor {
		return 1
	}
	return 0
}

func (r *Replica) noteSilent(m domain.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent[m] = time.Now()
}

// witnesses is others without the lock.
func (r *Replica) witnesses(h *history, key KeyHash) []domain.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.others(h, key)
}

// findWitness gives the commit to the first member that takes it.
func (r *Replica) findWitness(ctx context.Context, h *history, e entry) (domain.Member, status) {
	for _, member := range r.witnesses(h, e.Key) {
		switch st := r.mirror(ctx, member, h.table.Epoch, []entry{e}); st {
		case statusOK:
			return member, statusOK
		case statusStale:
			return domain.Member{}, statusStale
		}
	}
	return domain.Member{}, statusUnheld
}

// mirror has a member hold entries. It returns statusUnheld if it may not.
func (r *Replica) mirror(ctx context.Context, to domain.Member, epoch uint64, entries []entry) status {
	tryCtx, cancel := context.WithTimeout(ctx, r.options.secondTimeout())
	defer cancel()
	called := time.Now()
	reply, err := peer.Call[mirrorRequest, statusReply](tryCtx, r.transport, to, methodMirror, mirrorRequest{epoch, entries})
	if err != nil {
		r.noteSilent(to)
		return statusUnheld
	}
	r.hear(to, reply.Epoch, called)
	r.catchUp(ctx, to, reply.Epoch)
	return reply.Status
}

// serveMirror holds copies for a home of this epoch.
func (r *Replica) serveMirror(ctx context.Context, from domain.Member, request mirrorRequest) statusReply {
	r.catchUp(ctx, from, request.Epoch)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.book.expire(now)
	h := r.history.Load()
	if h == nil || h.table.Epoch != request.Epoch || !h.table.Eligible(r.self) {
		return statusReply{statusStale, r.epoch()}
	}
	if len(r.book.records)+len(request.Entries) > 2*r.options.MaxRecords {
		return statusReply{statusFull, r.epoch()}
	}
	for _, e := range request.Entries {
		r.book.merge(e, now)
	}
	return statusReply{statusOK, r.epoch()}
}
