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
	attempt := r.openAttempt(t)
	reply, err := run(ctx, r, t, exchange[claimRequest, claimReply]{
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
		r.closeAttempt(t, attempt)
		r.meters.countError(err)
		r.logUndecided(t, err)
		return Claim{}, err
	}
	return r.takeClaim(t, attempt, fingerprint, reply), nil
}

// logUndecided says why a key's history is unknown: its caller is only told that
// it is.
func (r *Replica) logUndecided(t target, err error) {
	if !errors.Is(err, ErrUnknown) {
		return
	}
	r.options.Logger.Warn().Err(err).Stringer("key", t.key).Uint64("epoch", r.epoch()).Msg("claim not decided")
}

// openAttempt begins a new attempt for a key.
func (r *Replica) openAttempt(t target) uint64 {
	attempt := r.attempts.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open[openAttempt{t.hash, attempt}] = struct{}{}
	return attempt
}

// closeAttempt ends an attempt: a claim that the home still has for it is over.
func (r *Replica) closeAttempt(t target, attempt uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, openAttempt{t.hash, attempt})
}

// takeClaim keeps a copy of a claim that is now this life's, and ends the attempt
// if it is not.
func (r *Replica) takeClaim(t target, attempt uint64, fingerprint Fingerprint, reply claimReply) Claim {
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
	r.keepCopy(t, attempt, fingerprint, reply)
	return claim
}

// keepCopy records a claim of this life, unless it is recorded here as the home
// or a later claim of the key is. The lock is held.
func (r *Replica) keepCopy(t target, attempt uint64, fingerprint Fingerprint, reply claimReply) {
	rec, ok := r.book.get(t.hash)
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
		holder:      r.book.members.number(r.self),
		endpoint:    r.book.endpoints.number(reply.Endpoint),
		flags:       flags,
	}
	r.book.set(t.hash, rec, state, time.Now())
}

// Commit implements Ledger. If the commit can't be had but the claim can be
// withdrawn at the home, the error is ErrRevoked.
func (r *Replica) Commit(ctx context.Context, claim Claim, endpoint domain.EndpointID) error {
	t := r.targetOf(claim.Key)
	copied, ok := r.markCommitted(t, claim.ID, endpoint)
	if !ok {
		return r.revoked(t, claim.ID)
	}
	reply, err := run(ctx, r, t, exchange[commitRequest, statusReply]{
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
		return r.revoked(t, claim.ID)
	case err == nil:
		err = errCopyLost
	}
	return r.withdraw(ctx, t, claim, err)
}

// markCommitted writes the commit into this life's copy before the home is asked,
// so that the copy counts as the second one. It reports whether it may count, and
// false if the claim is not this life's any more.
func (r *Replica) markCommitted(t target, claim ClaimID, endpoint domain.EndpointID) (copied, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec, found := r.book.get(t.hash)
	if !found || rec.claim != claim || rec.state != StateClaimed && rec.state != StateCommitted || rec.has(flagTakenOver) {
		return false, false
	}
	if r.decidesAlone(t) {
		return false, true
	}
	rec.endpoint = r.book.endpoints.number(endpoint)
	r.book.set(t.hash, rec, StateCommitted, time.Now())
	return rec.tabled(), true
}

// decidesAlone reports whether this life is the key's home. The lock is held.
func (r *Replica) decidesAlone(t target) bool {
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

// mayDispatch marks this life's copy as committed, and reports false if it no
// longer stands.
func (r *Replica) mayDispatch(t target, claim ClaimID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec, ok := r.book.get(t.hash)
	if !ok || rec.claim != claim || rec.state > StateCommitted {
		return false
	}
	if rec.state == StateClaimed {
		r.book.set(t.hash, rec, StateCommitted, time.Now())
	}
	return true
}

// revoked ends this life's part in a claim that the home no longer has.
func (r *Replica) revoked(t target, claim ClaimID) error {
	r.giveUp(t, claim)
	r.meters.countError(ErrRevoked)
	return ErrRevoked
}

// giveUp records that this life will not dispatch the claim, whatever became of
// it at the home.
func (r *Replica) giveUp(t target, claim ClaimID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec, ok := r.book.get(t.hash)
	if !ok || rec.claim != claim {
		return
	}
	delete(r.open, openAttempt{t.hash, rec.attempt})
	if rec.has(flagTakenOver) || rec.state.ended() {
		return
	}
	r.book.set(t.hash, rec, stateWithdrawn, time.Now())
}

// withdraw takes back a commit whose outcome is not known. This life has not
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
	r.giveUp(t, claim.ID)
	err := r.end(ctx, t, methodRelease, r.serveRelease, endRequest{Key: t.hash, Claim: claim.ID})
	if err == nil {
		r.dropUncommitted(t, claim.ID)
	}
	return err
}

// dropUncommitted forgets a released claim that was never sent as a commit, so
// that no member can hold a commit of it.
func (r *Replica) dropUncommitted(t target, claim ClaimID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec, ok := r.book.get(t.hash)
	if ok && rec.claim == claim && rec.state == stateWithdrawn && rec.endpoint == 0 {
		r.book.drop(t.hash)
	}
}

// Finish implements Ledger.
func (r *Replica) Finish(ctx context.Context, claim Claim, complete bool) error {
	t := r.targetOf(claim.Key)
	r.finishCopy(t, claim.ID, complete)
	request := endRequest{Key: t.hash, Claim: claim.ID, Complete: complete}
	err := r.end(ctx, t, methodFinish, r.serveFinish, request)
	if errors.Is(err, ErrNotFound) && r.restore(ctx, t, claim.ID) {
		return nil
	}
	return err
}

// restore gives the home a record that it has lost, from the holder's copy.
func (r *Replica) restore(ctx context.Context, t target, claim ClaimID) bool {
	r.mu.Lock()
	rec, ok := r.book.get(t.hash)
	e := r.book.export(t.hash, rec, time.Now())
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

// finishCopy ends this life's own copy, if another member decides about the key.
func (r *Replica) finishCopy(t target, claim ClaimID, complete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec, ok := r.book.get(t.hash)
	if !ok || rec.claim != claim {
		return
	}
	delete(r.open, openAttempt{t.hash, rec.attempt})
	if rec.state == StateCommitted && !r.decidesAlone(t) {
		r.book.set(t.hash, rec, endState(complete), time.Now())
	}
}

// end sends a finish or a release.
func (r *Replica) end(ctx context.Context, t target, method peer.Method, serve func(context.Context, domain.Member, endRequest) statusReply, request endRequest) error {
	reply, err := run(ctx, r, t, exchange[endRequest, statusReply]{
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
	reply, err := run(ctx, r, t, exchange[lookupRequest, lookupReply]{
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
