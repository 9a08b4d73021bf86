package ledger

import (
	"context"

	"hawthornrill.example/hawthornrill/domain"
)

// serveClaim decides about a claim as the key's home.
func (r *Replica) serveClaim(ctx context.Context, from domain.Member, request claimRequest) claimReply {
	reply, doubt := r.decideClaim(ctx, from, request)
	switch {
	case doubt == nil:
	case !doubt.holder.SameIncarnation(from):
		r.settleLater(*doubt)
	case r.settleDoubt(ctx, *doubt):
		reply, _ = r.decideClaim(ctx, from, request)
	}
	if reply.Status == statusFull && !r.confirmEpoch(ctx, request.Key, reply.Epoch) {
		reply.Status = statusUnheld
	}
	return reply
}

// decideClaim decides by what is recorded. It returns a doubt if the answer rests
// on a claim that its holder may have given up.
func (r *Replica) decideClaim(ctx context.Context, from domain.Member, request claimRequest) (claimReply, *doubt) {
	d, st := r.openDesk(ctx, from, request.Key, request.Epoch)
	defer r.mu.Unlock()
	if st != statusOK {
		return claimReply{Status: st, Epoch: d.epoch()}, nil
	}
	rec, ok := r.book.get(request.Key)
	if !ok || rec.state == stateWithdrawn {
		return r.claimNew(d, from, request, rec.claim), nil
	}
	if rec.fingerprint != request.Fingerprint {
		return claimReply{Status: statusFingerprint, Epoch: d.epoch()}, nil
	}
	if r.mayTakeOver(rec) {
		return r.claimOfGone(d, from, request, rec), nil
	}
	return r.claimHeld(d, from, request, rec)
}

// claimNew gives a claim for a key that has not been run. The lock is held.
func (r *Replica) claimNew(d desk, from domain.Member, request claimRequest, previous ClaimID) claimReply {
	if st := r.unseen(d, request.Key); st != statusOK {
		return claimReply{Status: st, Epoch: d.epoch()}
	}
	if !r.mayDecide(d) {
		return claimReply{Status: statusUnheld, Epoch: d.epoch()}
	}
	if len(r.book.records) >= r.options.MaxRecords {
		return claimReply{Status: statusFull, Epoch: d.epoch()}
	}
	return r.grant(d, from, request, previous)
}

// grant records a new claim. The lock is held.
func (r *Replica) grant(d desk, from domain.Member, request claimRequest, previous ClaimID) claimReply {
	rec := record{
		fingerprint: request.Fingerprint,
		claim:       r.newClaim(d.epoch(), previous),
		attempt:     request.Attempt,
		holder:      r.book.members.number(from),
		flags:       r.holderFlags(d, from),
	}
	r.book.set(request.Key, rec, StateClaimed, d.now)
	return r.verdict(d, from, VerdictGranted, rec)
}

// holderFlags are those of a new claim of the life.
func (r *Replica) holderFlags(d desk, holder domain.Member) recordFlags {
	if d.history == nil {
		return flagNodeScope
	}
	if d.history.table.Contains(holder) {
		return flagMember
	}
	return 0
}

// claimOfGone decides about a key whose holder's life has ended: what was only
// claimed is revoked and claimed anew, what was committed is taken over. The lock
// is held.
func (r *Replica) claimOfGone(d desk, from domain.Member, request claimRequest, rec record) claimReply {
	if !r.knows(d, request.Key) {
		return claimReply{Status: statusRecovering, Epoch: d.epoch()}
	}
	if !r.mayDecide(d) {
		return claimReply{Status: statusUnheld, Epoch: d.epoch()}
	}
	if rec.state == StateClaimed {
		r.meters.revoked.Inc()
		return r.grant(d, from, request, rec.claim)
	}
	r.meters.takenOver.Inc()
	rec.claim = r.newClaim(d.epoch(), rec.claim)
	rec.attempt = request.Attempt
	rec.holder = r.book.members.number(from)
	rec.flags = r.holderFlags(d, from) | flagTakenOver
	r.book.set(request.Key, rec, StateCommitted, d.now)
	return r.verdict(d, from, VerdictTakeover, rec)
}

// claimHeld answers for a key whose claim another attempt holds or has used. The
// lock is held.
func (r *Replica) claimHeld(d desk, from domain.Member, request claimRequest, rec record) (claimReply, *doubt) {
	same := rec.attempt == request.Attempt && r.book.members.value(rec.holder).SameIncarnation(from)
	switch {
	case same && rec.state == StateClaimed:
		return r.verdict(d, from, VerdictGranted, rec), nil
	case same && rec.state == StateCommitted && rec.has(flagTakenOver):
		return r.verdict(d, from, VerdictTakeover, rec), nil
	case rec.state == StateFailed, rec.state == StateFinished && r.holderGone(rec):
		return r.verdict(d, from, VerdictRan, rec), nil
	case rec.state == StateFinished:
		return r.verdict(d, from, VerdictFinished, rec), nil
	}
	return r.verdict(d, from, VerdictAttached, rec), r.doubtOf(d, from, request.Key, rec)
}

// verdict spells the reply out. The lock is held.
func (r *Replica) verdict(d desk, from domain.Member, verdict Verdict, rec record) claimReply {
	r.meters.verdicts[verdict].Inc()
	reply := claimReply{
		Status:   statusOK,
		Epoch:    d.epoch(),
		Claim:    rec.claim,
		Verdict:  verdict,
		Endpoint: r.book.endpoints.value(rec.endpoint),
	}
	if holder := r.book.members.value(rec.holder); !holder.SameIncarnation(from) {
		reply.Holder = &holder
	}
	return reply
}

// confirmEpoch reports whether another member has the epoch too, so that no later
// home can have run the key.
func (r *Replica) confirmEpoch(ctx context.Context, key KeyHash, epoch uint64) bool {
	if epoch == 0 {
		return true
	}
	h := r.history.Load()
	return h.table.Epoch == epoch && r.confirmOne(ctx, h, key)
}
