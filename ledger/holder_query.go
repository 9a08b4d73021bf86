package ledger

import (
	"context"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

// holderQuery describes a record whose holder should be queried whether the claim is
// still valid: the message that ended the claim, or the reply that granted it, may have
// been lost.
type holderQuery struct {
	key          KeyHash
	claim        ClaimID
	attempt      uint64
	state        State
	holder       domain.Member
	outsideTable bool
}

// queryIfDue returns the query for a record that is older than Options.HolderCheckAge
// or whose own holder claims it again; else nil. The lock is held.
func (r *Replica) queryIfDue(d decision, from domain.Member, key KeyHash, rec record) *holderQuery {
	age := time.Duration(r.records.timestamp(d.now) - rec.since)
	if age < r.options.HolderCheckAge && !r.records.members.value(rec.holder).SameIncarnation(from) {
		return nil
	}
	return r.newHolderQuery(key, rec)
}

func (r *Replica) newHolderQuery(key KeyHash, rec record) *holderQuery {
	return &holderQuery{
		key:          key,
		claim:        rec.claim,
		attempt:      rec.attempt,
		state:        rec.state,
		holder:       r.records.members.value(rec.holder),
		outsideTable: !rec.tableScoped(),
	}
}

// queryHolderAsync queries the holder without delaying the reply to the new attempt,
// which claims again if it can't read the answer. There is at most one query per key at
// a time.
func (r *Replica) queryHolderAsync(q holderQuery) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.holderQueries[q.key]; ok || r.stopped {
		return
	}
	r.holderQueries[q.key] = struct{}{}
	r.background.Go(func() {
		r.resolveWithHolder(context.Background(), q)
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.holderQueries, q.key)
	})
}

// stop waits for the background queries to end.
func (r *Replica) stop() {
	r.mu.Lock()
	r.stopped = true
	r.mu.Unlock()
	r.background.Wait()
}

// resolveWithHolder queries the holder and updates the record to the holder's state. It
// reports whether the record has changed.
func (r *Replica) resolveWithHolder(ctx context.Context, q holderQuery) bool {
	state, ok := r.queryHolder(ctx, q)
	if !ok {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	rec, ok := r.records.get(q.key)
	if !ok || rec.claim != q.claim || rec.state != q.state {
		return true
	}
	return r.applyHolderState(q.key, rec, state)
}

// queryHolder returns the holder's state of the claim.
func (r *Replica) queryHolder(ctx context.Context, q holderQuery) (State, bool) {
	request := holdsRequest{q.key, q.claim, q.attempt}
	if q.holder.SameIncarnation(r.self) {
		return r.serveHolds(ctx, r.self, request).State, true
	}
	ctx, cancel := context.WithTimeout(ctx, r.options.nestedTimeout())
	defer cancel()
	reply, err := peer.Call[holdsRequest, holdsReply](ctx, r.transport, q.holder, methodHolds, request)
	return reply.State, err == nil
}

// applyHolderState updates a record to its holder's state and reports whether it
// changed. A claim that its holder does not know is over. The lock is held.
func (r *Replica) applyHolderState(key KeyHash, rec record, held State) bool {
	switch {
	case rec.state == StateClaimed && (held == 0 || held == stateWithdrawn):
		r.records.drop(key)
	case rec.state == StateCommitted && held == stateWithdrawn && !rec.has(flagTakenOver):
		r.records.set(key, rec, stateWithdrawn, time.Now())
	case rec.state == StateCommitted && (held == StateFinished || held == StateFailed):
		r.records.set(key, rec, held, time.Now())
	default:
		return false
	}
	return true
}

// serveHolds returns the local state of a claim that this incarnation holds or held.
func (r *Replica) serveHolds(_ context.Context, _ domain.Member, request holdsRequest) holdsReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rec, ok := r.records.get(request.Key); ok && rec.claim == request.Claim && rec.state != StateClaimed {
		return holdsReply{rec.state}
	}
	if _, ok := r.open[openAttempt{request.Key, request.Attempt}]; ok {
		return holdsReply{StateClaimed}
	}
	return holdsReply{}
}
