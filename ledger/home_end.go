package ledger

import (
	"context"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

// serveRelease ends a claim that was not used: the key is as if it had never been
// seen. It answers statusOK only if another member confirms that no later home can
// have run the key.
func (r *Replica) serveRelease(ctx context.Context, from domain.Member, request endRequest) statusReply {
	d, copyAt, st := r.release(ctx, from, request)
	if copyAt != nil {
		r.forward(ctx, d, *copyAt)
	}
	if st == statusOK && !r.confirmEpoch(ctx, request.Key, d.epoch()) {
		st = statusUnheld
	}
	return statusReply{st, d.epoch()}
}

// release withdraws the claim, if it is still the key's. It returns the copy that
// another member holds, if any, as it should be now.
func (r *Replica) release(ctx context.Context, from domain.Member, request endRequest) (desk, *heldCopy, status) {
	d, st := r.openDesk(ctx, from, request.Key, request.Epoch)
	defer r.mu.Unlock()
	if st != statusOK {
		return d, nil, st
	}
	if !r.knows(d, request.Key) {
		return d, nil, statusRecovering
	}
	rec, ok := r.book.get(request.Key)
	if !ok {
		return d, nil, r.unseen(d, request.Key)
	}
	if rec.claim != request.Claim || rec.has(flagTakenOver) || rec.state.ended() && rec.state != stateWithdrawn {
		return d, nil, statusRevoked
	}
	if rec.state == StateClaimed {
		r.book.drop(request.Key)
		return d, nil, statusOK
	}
	r.book.set(request.Key, rec, stateWithdrawn, d.now)
	return d, r.copyOf(d, request.Key), statusOK
}

// serveFinish records how a request ended.
func (r *Replica) serveFinish(ctx context.Context, from domain.Member, request endRequest) statusReply {
	d, copyAt, st := r.finish(ctx, from, request)
	if copyAt != nil {
		r.forward(ctx, d, *copyAt)
	}
	return statusReply{st, d.epoch()}
}

func (r *Replica) finish(ctx context.Context, from domain.Member, request endRequest) (desk, *heldCopy, status) {
	d, st := r.openDesk(ctx, from, request.Key, request.Epoch)
	defer r.mu.Unlock()
	if st != statusOK {
		return d, nil, st
	}
	rec, ok := r.book.get(request.Key)
	if !ok {
		return d, nil, r.missing(d, request.Key)
	}
	if rec.claim != request.Claim || rec.state < StateCommitted || rec.state == stateWithdrawn {
		return d, nil, statusRevoked
	}
	if rec.state.ended() {
		return d, nil, statusOK
	}
	r.book.set(request.Key, rec, endState(request.Complete), d.now)
	return d, r.copyOf(d, request.Key), statusOK
}

// missing says what to answer when a record that should be there is not. The lock
// is held.
func (r *Replica) missing(d desk, key KeyHash) status {
	if !r.knows(d, key) {
		return statusRecovering
	}
	return statusNotFound
}

func endState(complete bool) State {
	if complete {
		return StateFinished
	}
	return StateFailed
}

// heldCopy is a record as a witness should hold it.
type heldCopy struct {
	witness domain.Member
	entry   entry
}

// copyOf returns the copy that a witness other than the claim's holder has. The
// lock is held.
func (r *Replica) copyOf(d desk, key KeyHash) *heldCopy {
	rec, ok := r.book.get(key)
	if !ok || rec.witness == 0 || rec.witness == rec.holder {
		return nil
	}
	return &heldCopy{r.book.members.value(rec.witness), r.book.export(key, rec, d.now)}
}

// forward tells a witness of a record's end, without waiting. If the message is
// lost, the witness asks at its next audit.
func (r *Replica) forward(ctx context.Context, d desk, c heldCopy) {
	_ = peer.Send(ctx, r.transport, c.witness, methodMirror, mirrorRequest{d.epoch(), []entry{c.entry}})
}

// serveLookup tells what is recorded of a key.
func (r *Replica) serveLookup(ctx context.Context, from domain.Member, request lookupRequest) lookupReply {
	d, st := r.openDesk(ctx, from, request.Key, request.Epoch)
	defer r.mu.Unlock()
	if st != statusOK {
		return lookupReply{Status: st, Epoch: d.epoch()}
	}
	rec, ok := r.book.get(request.Key)
	if !ok || rec.state == stateWithdrawn {
		st = r.unseen(d, request.Key)
		if st == statusOK {
			st = statusNotFound
		}
		return lookupReply{Status: st, Epoch: d.epoch()}
	}
	e := r.book.export(request.Key, rec, d.now)
	return lookupReply{Status: statusOK, Epoch: d.epoch(), Entry: &e}
}
