package ledger

import (
	"context"

	"hawthornrill.example/hawthornrill/domain"
)

// serveCommit decides on a commit as the key's home. It replies statusOK only when two
// members hold the commit in the home's epoch, or this one is the only member.
func (r *Replica) serveCommit(ctx context.Context, from domain.Member, request commitRequest) statusReply {
	d, e, st := r.beginCommit(ctx, from, request)
	if st != statusOK || e == nil {
		return statusReply{st, d.epoch()}
	}
	witness, st := r.replicateCommit(ctx, d.history, *e)
	if st != statusOK {
		return statusReply{st, d.epoch()}
	}
	return statusReply{r.endCommit(request, witness), d.epoch()}
}

// beginCommit records the commit locally. It returns an entry if another member has to
// hold it too before it counts.
func (r *Replica) beginCommit(ctx context.Context, from domain.Member, request commitRequest) (decision, *entry, status) {
	d, st := r.beginDecision(ctx, from, request.Key, request.Epoch)
	defer r.mu.Unlock()
	if st != statusOK {
		return d, nil, st
	}
	rec, ok := r.records.get(request.Key)
	if !r.hasFullHistory(d, request.Key) {
		return d, nil, statusRecovering
	}
	if !ok || rec.claim != request.Claim || rec.state > StateCommitted || rec.has(flagTakenOver) {
		return d, nil, statusRevoked
	}
	if !r.mayDecide(d) {
		return d, nil, statusTooFewMembers
	}
	rec.endpoint = r.records.endpoints.intern(request.Endpoint)
	rec.flags |= flagPending
	if held := r.hasSecondCopy(d, from, request, &rec); held {
		rec.flags &^= flagPending
	}
	rec = r.records.set(request.Key, rec, StateCommitted, d.now)
	if !rec.has(flagPending) {
		return d, nil, statusOK
	}
	e := r.records.toEntry(request.Key, rec, d.now)
	return d, &e, statusOK
}

// hasSecondCopy reports whether the commit need not be sent to another member: the key
// is of this node's scope, the sender is a member and holds a copy, or there is no
// other member. The lock is held.
func (r *Replica) hasSecondCopy(d decision, from domain.Member, request commitRequest, rec *record) bool {
	if d.history == nil {
		return true
	}
	if request.Copied && !from.SameIncarnation(r.self) && d.history.table.Eligible(from) {
		rec.witness = r.records.members.intern(from)
		return true
	}
	return len(d.history.current()) == 1
}

// endCommit completes a commit that a witness now holds too, unless this member has
// lost or given away the claim meanwhile. The table may have changed since: any member
// that collected from this one has received the commit.
func (r *Replica) endCommit(request commitRequest, witness domain.Member) status {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec, ok := r.records.get(request.Key)
	if !ok || rec.claim != request.Claim || rec.state != StateCommitted {
		return statusRevoked
	}
	rec.witness = r.records.members.intern(witness)
	rec.flags &^= flagPending
	r.records.put(request.Key, rec)
	return statusOK
}
