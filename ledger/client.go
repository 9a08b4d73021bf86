package ledger

import (
	"context"
	"errors"
	"fmt"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

// Claim implements Ledger.
func (r *Replica) Claim(ctx context.Context, key domain.RequestKey, fingerprint Fingerprint) (Claim, error) {
	t := r.targetOf(key)
	attempt := r.beginAttempt(t)
	reply, err := callHome(ctx, r, t, homeCall[claimRequest, claimReply]{
		method: methodClaim,
		request: func(at route) claimRequest {
			return claimRequest{Key: t.hash, Fingerprint: fingerprint, Attempt: attempt, Epoch: at.epoch}
		},
		serve: r.serveClaim,
	})
	if err == nil {
		err = statusError(reply.Status)
	}
	if err != nil {
		r.endAttempt(t, attempt)
		r.meters.countError(err)
		r.logUnknownHistory(t, err)
		return Claim{}, err
	}
	return r.acceptClaim(t, attempt, fingerprint, reply), nil
}

// logUnknownHistory logs the cause of ErrUnknown, since the caller does not receive it.
func (r *Replica) logUnknownHistory(t target, err error) {
	if !errors.Is(err, ErrUnknown) {
		return
	}
	r.options.Logger.Warn().Err(err).Stringer("key", t.key).Uint64("epoch", r.epoch()).Msg("claim failed: key history unknown")
}

// beginAttempt registers a new attempt for a key.
func (r *Replica) beginAttempt(t target) uint64 {
	attempt := r.attempts.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open[openAttempt{t.hash, attempt}] = struct{}{}
	return attempt
}

// endAttempt ends an attempt: if the home still has a claim for it, the claim is void.
func (r *Replica) endAttempt(t target, attempt uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, openAttempt{t.hash, attempt})
}

// acceptClaim stores a copy of a claim granted to this incarnation, and ends the
// attempt if none was granted.
func (r *Replica) acceptClaim(t target, attempt uint64, fingerprint Fingerprint, reply claimReply) Claim {
	claim := Claim{Key: t.key, ID: reply.Claim, Verdict: reply.Verdict, Holder: r.self, Endpoint: reply.Endpoint}
	if reply.Holder != nil {
		claim.Holder = *reply.Holder
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if reply.Verdict != VerdictGranted && reply.Verdict != VerdictTakeover {
		delete(r.open, openAttempt{t.hash, attempt})
		return claim
	}
	r.storeCopy(t, attempt, fingerprint, reply)
	return claim
}

// storeCopy records a claim of this incarnation, unless this claim, as on the home
// itself, or a later one of the key is already recorded here. The lock is held.
func (r *Replica) storeCopy(t target, attempt uint64, fingerprint Fingerprint, reply claimReply) {
	rec, ok := r.records.get(t.hash)
	if ok && rec.claim >= reply.Claim {
		return
	}
	state, flags := StateClaimed, t.flags
	if h := r.history.Load(); flags == 0 && h != nil && h.table.Contains(r.self) {
		flags |= flagMember
	}
	if reply.Verdict == VerdictTakeover {
		state, flags = StateCommitted, flags|flagTakenOver
	}
	rec = record{
		fingerprint: fingerprint,
		claim:       reply.Claim,
		attempt:     attempt,
		holder:      r.records.members.intern(r.self),
		endpoint:    r.records.endpoints.intern(reply.Endpoint),
		flags:       flags,
	}
	r.records.set(t.hash, rec, state, time.Now())
}

// Commit implements Ledger. If the commit fails but the claim can be withdrawn at the
// home, the error is ErrRevoked.
func (r *Replica) Commit(ctx context.Context, claim Claim, endpoint domain.EndpointID) error {
	t := r.targetOf(claim.Key)
	copied, ok := r.markCommitted(t, claim.ID, endpoint)
	if !ok {
		return r.handleRevoked(t, claim.ID)
	}
	reply, err := callHome(ctx, r, t, homeCall[commitRequest, statusReply]{
		method: methodCommit,
		request: func(at route) commitRequest {
			return commitRequest{Key: t.hash, Claim: claim.ID, Endpoint: endpoint, Epoch: at.epoch, Copied: copied}
		},
		serve: r.serveCommit,
	})
	if err == nil {
		err = statusError(reply.Status)
	}
	switch {
	case err == nil && r.mayDispatch(t, claim.ID):
		return nil
	case errors.Is(err, ErrRevoked):
		return r.handleRevoked(t, claim.ID)
	case err == nil:
		err = errCopyDropped
	}
	return r.withdraw(ctx, t, claim, err)
}

// markCommitted writes the commit into the local copy before the home is called, so that
// the copy counts as the second one. copied reports whether it may count; ok is false
// if this incarnation no longer has the claim.
func (r *Replica) markCommitted(t target, claim ClaimID, endpoint domain.EndpointID) (copied, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec, found := r.records.get(t.hash)
	if !found || rec.claim != claim || rec.state != StateClaimed && rec.state != StateCommitted || rec.has(flagTakenOver) {
		return false, false
	}
	if r.isHome(t) {
		return false, true
	}
	rec.endpoint = r.records.endpoints.intern(endpoint)
	r.records.set(t.hash, rec, StateCommitted, time.Now())
	return rec.tableScoped(), true
}

// isHome reports whether this incarnation is the key's home. The lock is held.
func (r *Replica) isHome(t target) bool {
	if t.flags == flagNodeScope {
		return true
	}
	h := r.history.Load()
	if t.flags == flagForeign || h == nil {
		return false
	}
	home, ok := h.home(t.hash)
	return ok && home.SameIncarnation(r.self)
}

// mayDispatch marks the local copy as committed. It reports false if the copy was
// deleted or has ended.
func (r *Replica) mayDispatch(t target, claim ClaimID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec, ok := r.records.get(t.hash)
	if !ok || rec.claim != claim || rec.state > StateCommitted {
		return false
	}
	if rec.state == StateClaimed {
		r.records.set(t.hash, rec, StateCommitted, time.Now())
	}
	return true
}

// handleRevoked ends the local part of a claim that the home no longer has.
func (r *Replica) handleRevoked(t target, claim ClaimID) error {
	r.markWithdrawn(t, claim)
	r.meters.countError(ErrRevoked)
	return ErrRevoked
}

// markWithdrawn records that this incarnation will not dispatch the claim, whatever
// state the home has for it.
func (r *Replica) markWithdrawn(t target, claim ClaimID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec, ok := r.records.get(t.hash)
	if !ok || rec.claim != claim {
		return
	}
	delete(r.open, openAttempt{t.hash, rec.attempt})
	if rec.has(flagTakenOver) || rec.state.ended() {
		return
	}
	r.records.set(t.hash, rec, stateWithdrawn, time.Now())
}

// withdraw takes back a commit with an unknown outcome. This incarnation has not
// dispatched it and never will.
func (r *Replica) withdraw(ctx context.Context, t target, claim Claim, cause error) error {
	if err := r.Release(ctx, claim); err == nil || errors.Is(err, ErrRevoked) {
		return fmt.Errorf("%w: withdrawn: %w", ErrRevoked, cause)
	}
	r.meters.countError(cause)
	return cause
}

// Release implements Ledger.
func (r *Replica) Release(ctx context.Context, claim Claim) error {
	t := r.targetOf(claim.Key)
	r.markWithdrawn(t, claim.ID)
	err := r.sendEnd(ctx, t, methodRelease, r.serveRelease, endRequest{Key: t.hash, Claim: claim.ID})
	if err == nil {
		r.dropUncommitted(t, claim.ID)
	}
	return err
}

// dropUncommitted deletes a released claim that was never sent as a commit, so that no
// member can hold a commit of it.
func (r *Replica) dropUncommitted(t target, claim ClaimID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec, ok := r.records.get(t.hash)
	if ok && rec.claim == claim && rec.state == stateWithdrawn && rec.endpoint == 0 {
		r.records.drop(t.hash)
	}
}

// Finish implements Ledger.
func (r *Replica) Finish(ctx context.Context, claim Claim, complete bool) error {
	t := r.targetOf(claim.Key)
	r.finishCopy(t, claim.ID, complete)
	request := endRequest{Key: t.hash, Claim: claim.ID, Complete: complete}
	err := r.sendEnd(ctx, t, methodFinish, r.serveFinish, request)
	if errors.Is(err, ErrNotFound) && r.restoreAtHome(ctx, t, claim.ID) {
		return nil
	}
	return err
}

// restoreAtHome sends the home a record that it has lost, from the holder's copy.
func (r *Replica) restoreAtHome(ctx context.Context, t target, claim ClaimID) bool {
	r.mu.Lock()
	rec, ok := r.records.get(t.hash)
	e := r.records.toEntry(t.hash, rec, time.Now())
	r.mu.Unlock()
	at, err := r.route(ctx, t)
	if !ok || rec.claim != claim || err != nil || at.home.SameIncarnation(r.self) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, r.options.TryTimeout)
	defer cancel()
	reply, err := peer.Call[mirrorRequest, statusReply](ctx, r.transport, at.home, methodMirror, mirrorRequest{at.epoch, []entry{e}})
	return err == nil && reply.Status == statusOK
}

// finishCopy ends the local copy, if another member is the key's home.
func (r *Replica) finishCopy(t target, claim ClaimID, complete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec, ok := r.records.get(t.hash)
	if !ok || rec.claim != claim {
		return
	}
	delete(r.open, openAttempt{t.hash, rec.attempt})
	if rec.state == StateCommitted && !r.isHome(t) {
		r.records.set(t.hash, rec, endState(complete), time.Now())
	}
}

// sendEnd sends a finish or a release.
func (r *Replica) sendEnd(ctx context.Context, t target, method peer.Method, serve func(context.Context, domain.Member, endRequest) statusReply, request endRequest) error {
	reply, err := callHome(ctx, r, t, homeCall[endRequest, statusReply]{
		method: method,
		request: func(at route) endRequest {
			request.Epoch = at.epoch
			return request
		},
		serve: serve,
	})
	if err == nil {
		err = statusError(reply.Status)
	}
	if err != nil {
		r.meters.countError(err)
	}
	return err
}

// Lookup implements Ledger.
func (r *Replica) Lookup(ctx context.Context, key domain.RequestKey) (State, Claim, error) {
	t := r.targetOf(key)
	reply, err := callHome(ctx, r, t, homeCall[lookupRequest, lookupReply]{
		method:  methodLookup,
		request: func(at route) lookupRequest { return lookupRequest{t.hash, at.epoch} },
		serve:   r.serveLookup,
	})
	if err == nil {
		err = statusError(reply.Status)
	}
	if err != nil {
		return 0, Claim{}, err
	}
	e := reply.Entry
	return e.State, Claim{Key: key, ID: e.Claim, Holder: e.Holder, Endpoint: e.Endpoint}, nil
}
