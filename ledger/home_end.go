package ledger

import (
	"context"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

// serveRelease ends an unused claim, which leaves the key free. It replies statusOK
// only if another member confirms that no later home can have run the key.
func (r *Replica) serveRelease(ctx context.Context, from domain.Member, request endRequest) statusReply {
	d, update, st := r.release(ctx, from, request)
	if update != nil {
		r.sendWitnessUpdate(ctx, d, *update)
	}
	if st == statusOK && !r.confirmEpoch(ctx, request.Key, d.epoch()) {
		st = statusTooFewMembers
	}
	return statusReply{st, d.epoch()}
}

// release withdraws the claim if the key still has it. It returns the update for the
// copy that another member holds, if any.
func (r *Replica) release(ctx context.Context, from domain.Member, request endRequest) (decision, *witnessUpdate, status) {
	d, st := r.beginDecision(ctx, from, request.Key, request.Epoch)
	defer r.mu.Unlock()
	if st != statusOK {
		return d, nil, st
	}
	if !r.hasFullHistory(d, request.Key) {
		return d, nil, statusRecovering
	}
	rec, ok := r.records.get(request.Key)
	if !ok {
		return d, nil, r.absentStatus(d, request.Key)
	}
	if rec.claim != request.Claim || rec.has(flagTakenOver) || rec.state.ended() && rec.state != stateWithdrawn {
		return d, nil, statusRevoked
	}
	if rec.state == StateClaimed {
		r.records.drop(request.Key)
		return d, nil, statusOK
	}
	r.records.set(request.Key, rec, stateWithdrawn, d.now)
	return d, r.witnessUpdateFor(d, request.Key), statusOK
}

// serveFinish records how a request ended.
func (r *Replica) serveFinish(ctx context.Context, from domain.Member, request endRequest) statusReply {
	d, update, st := r.finish(ctx, from, request)
	if update != nil {
		r.sendWitnessUpdate(ctx, d, *update)
	}
	return statusReply{st, d.epoch()}
}

func (r *Replica) finish(ctx context.Context, from domain.Member, request endRequest) (decision, *witnessUpdate, status) {
	d, st := r.beginDecision(ctx, from, request.Key, request.Epoch)
	defer r.mu.Unlock()
	if st != statusOK {
		return d, nil, st
	}
	rec, ok := r.records.get(request.Key)
	if !ok {
		return d, nil, r.missingStatus(d, request.Key)
	}
	if rec.claim != request.Claim || rec.state < StateCommitted || rec.state == stateWithdrawn {
		return d, nil, statusRevoked
	}
	if rec.state.ended() {
		return d, nil, statusOK
	}
	r.records.set(request.Key, rec, endState(request.Complete), d.now)
	return d, r.witnessUpdateFor(d, request.Key), statusOK
}

// missingStatus returns the status for a record that should exist and does not. The
// lock is held.
func (r *Replica) missingStatus(d decision, key KeyHash) status {
	if !r.hasFullHistory(d, key) {
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

// witnessUpdate is a new version of a record for the witness that holds a copy.
type witnessUpdate struct {
	witness domain.Member
	entry   entry
}

// witnessUpdateFor returns the update for a witness other than the claim's holder, or
// nil. The lock is held.
func (r *Replica) witnessUpdateFor(d decision, key KeyHash) *witnessUpdate {
	rec, ok := r.records.get(key)
	if !ok || rec.witness == 0 || rec.witness == rec.holder {
		return nil
	}
	return &witnessUpdate{r.records.members.value(rec.witness), r.records.toEntry(key, rec, d.now)}
}

// sendWitnessUpdate sends a witness the end of a record, without waiting. If the
// message is lost, the witness queries the home at its next audit.
func (r *Replica) sendWitnessUpdate(ctx context.Context, d decision, update witnessUpdate) {
	_ = peer.Send(ctx, r.transport, update.witness, methodMirror, mirrorRequest{d.epoch(), []entry{update.entry}})
}

// serveLookup returns the record of a key.
func (r *Replica) serveLookup(ctx context.Context, from domain.Member, request lookupRequest) lookupReply {
	d, st := r.beginDecision(ctx, from, request.Key, request.Epoch)
	defer r.mu.Unlock()
	if st != statusOK {
		return lookupReply{Status: st, Epoch: d.epoch()}
	}
	rec, ok := r.records.get(request.Key)
	if !ok || rec.state == stateWithdrawn {
		st = r.absentStatus(d, request.Key)
		if st == statusOK {
			st = statusNotFound
		}
		return lookupReply{Status: st, Epoch: d.epoch()}
	}
	e := r.records.toEntry(request.Key, rec, d.now)
	return lookupReply{Status: statusOK, Epoch: d.epoch(), Entry: &e}
}
