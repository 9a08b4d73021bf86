package ledger

import (
	"context"

	"hawthornrill.example/hawthornrill/domain"
)

// serveCommit decides about a commit as the key's home. It answers statusOK only
// when two members hold the commit in the home's epoch, or this one is alone.
func (r *Replica) serveCommit(ctx context.Context, from domain.Member, request commitRequest) statusReply {
	d, e, st := r.beginCommit(ctx, from, request)
	if st != statusOK || e == nil {
		return statusReply{st, d.epoch()}
	}
	witness, st := r.findWitness(ctx, d.history, *e)
	if st != statusOK {
		return statusReply{st, d.epoch()}
	}
	return statusReply{r.endCommit(request, witness), d.epoch()}
}

// beginCommit records the commit here. It returns an entry if another member has
// to hold it too before it counts.
func (r *Replica) beginCommit(ctx context.Context, from domain.Member, request commitRequest) (desk, *entry, status) {
	d, st := r.openDesk(ctx, from, request.Key, request.Epoch)
	defer r.mu.Unlock()
	if st != statusOK {
		return d, nil, st
	}
	rec, ok := r.book.get(request.Key)
	if !r.knows(d, request.Key) {
		return d, nil, statusRecovering
	}
	if !ok || rec.claim != request.Claim || rec.state > StateCommitted || rec.has(flagTakenOver) {
		return d, nil, statusRevoked
	}
	if !r.mayDecide(d) {
		return d, nil, statusUnheld
	}
	rec.endpoint = r.book.endpoints.number(request.Endpoint)
	rec.flags |= flagPending
	if held := r.secondCopy(d, from, request, &rec); held {
		rec.flags &^= flagPending
	}
	rec = r.book.set(request.Key, rec, StateCommitted, d.now)
	if !rec.has(flagPending) {
		return d, nil, statusOK
	}
	e := r.book.export(request.Key, rec, d.now)
	return d, &e, statusOK
}

// secondCopy reports whether no other member needs to be sent the commit: the key
// is this life's own, the sender is a member and holds it, or there is no other.
// The lock is held.
func (r *Replica) secondCopy(d desk, from domain.Member, request commitRequest, rec *record) bool {
	if d.history == nil {
		return true
	}
	if request.Copied && !from.SameIncarnation(r.self) && d.history.table.Eligible(from) {
		rec.witness = r.book.members.number(from)
		return true
	}
	return len(d.history.current()) == 1
}

// endCommit completes a commit that another member now holds too, unless this one
// has lost or given away the claim meanwhile. The table may have changed: whoever
// collected from this member has been told of the commit.
func (r *Replica) endCommit(request commitRequest, witness domain.Member) status {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec, ok := r.book.get(request.Key)
	if !ok || rec.claim != request.Claim || rec.state != StateCommitted {
		return statusRevoked
	}
	rec.witness = r.book.members.number(witness)
	rec.flags &^= flagPending
	r.book.put(request.Key, rec)
	return statusOK
}
