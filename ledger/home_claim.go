package ledger

import (
	"context"

	"hawthornrill.example/hawthornrill/domain"
)

// serveClaim decides on a claim as the key's home.
func (r *Replica) serveClaim(ctx context.Context, from domain.Member, request claimRequest) claimReply {
	reply, query := r.decideClaim(ctx, from, request)
	switch {
	case query == nil:
	case !query.holder.SameIncarnation(from):
		r.queryHolderAsync(*query)
	case r.resolveWithHolder(ctx, *query):
		reply, _ = r.decideClaim(ctx, from, request)
	}
	if reply.Status == statusFull && !r.confirmEpoch(ctx, request.Key, reply.Epoch) {
		reply.Status = statusTooFewMembers
	}
	return reply
}

// decideClaim decides by the local record. It returns a query if the reply depends on a
// claim that its holder may have given up.
func (r *Replica) decideClaim(ctx context.Context, from domain.Member, request claimRequest) (claimReply, *holderQuery) {
	d, st := r.beginDecision(ctx, from, request.Key, request.Epoch)
	defer r.mu.Unlock()
	if st != statusOK {
		return claimReply{Status: st, Epoch: d.epoch()}, nil
	}
	rec, ok := r.records.get(request.Key)
	if !ok || rec.state == stateWithdrawn {
		return r.claimNew(d, from, request, rec.claim), nil
	}
	if rec.fingerprint != request.Fingerprint {
		return claimReply{Status: statusFingerprint, Epoch: d.epoch()}, nil
	}
	if r.mayTakeOver(rec) {
		return r.claimFromEndedHolder(d, from, request, rec), nil
	}
	return r.claimHeld(d, from, request, rec)
}

// claimNew grants a claim on a key that has not been run. The lock is held.
func (r *Replica) claimNew(d decision, from domain.Member, request claimRequest, previous ClaimID) claimReply {
	if st := r.absentStatus(d, request.Key); st != statusOK {
		return claimReply{Status: st, Epoch: d.epoch()}
	}
	if !r.mayDecide(d) {
		return claimReply{Status: statusTooFewMembers, Epoch: d.epoch()}
	}
	if len(r.records.byKey) >= r.options.MaxRecords {
		return claimReply{Status: statusFull, Epoch: d.epoch()}
	}
	return r.grant(d, from, request, previous)
}

// grant records a new claim. The lock is held.
func (r *Replica) grant(d decision, from domain.Member, request claimRequest, previous ClaimID) claimReply {
	rec := record{
		fingerprint: request.Fingerprint,
		claim:       r.newClaim(d.epoch(), previous),
		attempt:     request.Attempt,
		holder:      r.records.members.intern(from),
		flags:       r.holderFlags(d, from),
	}
	r.records.set(request.Key, rec, StateClaimed, d.now)
	return r.verdict(d, from, VerdictGranted, rec)
}

// holderFlags returns the flags of a new claim of the holder.
func (r *Replica) holderFlags(d decision, holder domain.Member) recordFlags {
	if d.history == nil {
		return flagNodeScope
	}
	if d.history.table.Contains(holder) {
		return flagMember
	}
	return 0
}

// claimFromEndedHolder decides on a key whose holder's incarnation has ended: a claim
// without a commit is revoked and a new one granted, a commit is taken over. The lock
// is held.
func (r *Replica) claimFromEndedHolder(d decision, from domain.Member, request claimRequest, rec record) claimReply {
	if !r.hasFullHistory(d, request.Key) {
		return claimReply{Status: statusRecovering, Epoch: d.epoch()}
	}
	if !r.mayDecide(d) {
		return claimReply{Status: statusTooFewMembers, Epoch: d.epoch()}
	}
	if rec.state == StateClaimed {
		r.meters.revoked.Inc()
		return r.grant(d, from, request, rec.claim)
	}
	r.meters.takenOver.Inc()
	rec.claim = r.newClaim(d.epoch(), rec.claim)
	rec.attempt = request.Attempt
	rec.holder = r.records.members.intern(from)
	rec.flags = r.holderFlags(d, from) | flagTakenOver
	r.records.set(request.Key, rec, StateCommitted, d.now)
	return r.verdict(d, from, VerdictTakeover, rec)
}

// claimHeld decides on a key whose claim another attempt holds or has used. The lock is
// held.
func (r *Replica) claimHeld(d decision, from domain.Member, request claimRequest, rec record) (claimReply, *holderQuery) {
	same := rec.attempt == request.Attempt && r.records.members.value(rec.holder).SameIncarnation(from)
	switch {
	case same && rec.state == StateClaimed:
		return r.verdict(d, from, VerdictGranted, rec), nil
	case same && rec.state == StateCommitted && rec.has(flagTakenOver):
		return r.verdict(d, from, VerdictTakeover, rec), nil
	case rec.state == StateFailed, rec.state == StateFinished && r.holderEnded(rec):
		return r.verdict(d, from, VerdictRan, rec), nil
	case rec.state == StateFinished:
		return r.verdict(d, from, VerdictFinished, rec), nil
	}
	return r.verdict(d, from, VerdictAttached, rec), r.queryIfDue(d, from, request.Key, rec)
}

// verdict builds the reply with the verdict. The lock is held.
func (r *Replica) verdict(d decision, from domain.Member, verdict Verdict, rec record) claimReply {
	r.meters.verdicts[verdict].Inc()
	reply := claimReply{
		Status:   statusOK,
		Epoch:    d.epoch(),
		Claim:    rec.claim,
		Verdict:  verdict,
		Endpoint: r.records.endpoints.value(rec.endpoint),
	}
	if holder := r.records.members.value(rec.holder); !holder.SameIncarnation(from) {
		reply.Holder = &holder
	}
	return reply
}

// confirmEpoch reports whether another member is in the epoch too, so that no later
// home can have run the key.
func (r *Replica) confirmEpoch(ctx context.Context, key KeyHash, epoch uint64) bool {
	if epoch == 0 {
		return true
	}
	h := r.history.Load()
	return h.table.Epoch == epoch && r.confirmWithAny(ctx, h, key)
}
