package ledger

import (
	"context"
	"slices"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

// maxWitnesses is the number of members tried as witness of a commit.
const maxWitnesses = 3

// unresponsivePeriod is how long a member that did not answer is tried only after the
// others.
const unresponsivePeriod = 2 * time.Second

// witnessCandidatesLocked returns the members to try as the key's witness, in
// rendezvous order but with unresponsive ones last. The lock is held.
func (r *Replica) witnessCandidatesLocked(h *history, key KeyHash) []domain.Member {
	now := time.Now()
	members := ranked(h.current(), key)
	members = slices.DeleteFunc(members, func(m domain.Member) bool { return m.SameIncarnation(r.self) })
	slices.SortStableFunc(members, func(a, b domain.Member) int {
		return r.unresponsiveRank(a, now) - r.unresponsiveRank(b, now)
	})
	return members[:min(maxWitnesses, len(members))]
}

// unresponsiveRank is 1 for a member that did not answer recently, else 0. The lock is
// held.
func (r *Replica) unresponsiveRank(m domain.Member, now time.Time) int {
	if at, ok := r.unresponsive[m]; ok && now.Sub(at) < unresponsivePeriod {
		return 1
	}
	return 0
}

func (r *Replica) markUnresponsive(m domain.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unresponsive[m] = time.Now()
}

// witnessCandidates is witnessCandidatesLocked for callers without the lock.
func (r *Replica) witnessCandidates(h *history, key KeyHash) []domain.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.witnessCandidatesLocked(h, key)
}

// replicateCommit sends the commit to the witness candidates in turn, until one accepts
// it.
func (r *Replica) replicateCommit(ctx context.Context, h *history, e entry) (domain.Member, status) {
	for _, member := range r.witnessCandidates(h, e.Key) {
		switch st := r.mirror(ctx, member, h.table.Epoch, []entry{e}); st {
		case statusOK:
			return member, statusOK
		case statusStale:
			return domain.Member{}, statusStale
		}
	}
	return domain.Member{}, statusTooFewMembers
}

// mirror sends a member entries to store. It returns statusTooFewMembers if the member
// does not answer.
func (r *Replica) mirror(ctx context.Context, to domain.Member, epoch uint64, entries []entry) status {
	tryCtx, cancel := context.WithTimeout(ctx, r.options.nestedTimeout())
	defer cancel()
	called := time.Now()
	reply, err := peer.Call[mirrorRequest, statusReply](tryCtx, r.transport, to, methodMirror, mirrorRequest{epoch, entries})
	if err != nil {
		r.markUnresponsive(to)
		return statusTooFewMembers
	}
	r.noteConfirmed(to, reply.Epoch, called)
	r.catchUp(ctx, to, reply.Epoch)
	return reply.Status
}

// serveMirror stores copies for a home of this epoch.
func (r *Replica) serveMirror(ctx context.Context, from domain.Member, request mirrorRequest) statusReply {
	r.catchUp(ctx, from, request.Epoch)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.records.expire(now)
	h := r.history.Load()
	if h == nil || h.table.Epoch != request.Epoch || !h.table.Eligible(r.self) {
		return statusReply{statusStale, r.epoch()}
	}
	if len(r.records.byKey)+len(request.Entries) > 2*r.options.MaxRecords {
		return statusReply{statusFull, r.epoch()}
	}
	for _, e := range request.Entries {
		r.records.merge(e, now)
	}
	return statusReply{statusOK, r.epoch()}
}
