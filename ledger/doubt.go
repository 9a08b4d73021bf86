package ledger

import (
	"context"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

// doubt is a record whose holder should be asked whether it still stands: the
// message that ended the claim, or the reply that gave it, may have been lost.
type doubt struct {
	key     KeyHash
	claim   ClaimID
	attempt uint64
	state   State
	holder  domain.Member
	scoped  bool
}

// doubtOf returns the doubt about a record that has stood for a while, or that
// its own holder asks for anew; else nil. The lock is held.
func (r *Replica) doubtOf(d desk, from domain.Member, key KeyHash, rec record) *doubt {
	age := time.Duration(r.book.clock(d.now) - rec.since)
	if age < r.options.HoldsAfter && !r.book.members.value(rec.holder).SameIncarnation(from) {
		return nil
	}
	return r.doubtAbout(key, rec)
}

// doubtAbout spells a doubt out. The lock is held.
func (r *Replica) doubtAbout(key KeyHash, rec record) *doubt {
	return &doubt{
		key:     key,
		claim:   rec.claim,
		attempt: rec.attempt,
		state:   rec.state,
		holder:  r.book.members.value(rec.holder),
		scoped:  !rec.tabled(),
	}
}

// settleLater asks the holder without letting the newcomer wait: it claims again
// when it can't read the answer. Each key is asked about once at a time.
func (r *Replica) settleLater(q doubt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.asking[q.key]; ok || r.stopped {
		return
	}
	r.asking[q.key] = struct{}{}
	r.work.Go(func() {
		r.settleDoubt(context.Background(), q)
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.asking, q.key)
	})
}

// stop waits for what was left to be done later.
func (r *Replica) stop() {
	r.mu.Lock()
	r.stopped = true
	r.mu.Unlock()
	r.work.Wait()
}

// settleDoubt asks the holder and brings the record up to its word. It reports
// whether the record has changed.
func (r *Replica) settleDoubt(ctx context.Context, q doubt) bool {
	state, ok := r.askHolder(ctx, q)
	if !ok {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	rec, ok := r.book.get(q.key)
	if !ok || rec.claim != q.claim || rec.state != q.state {
		return true
	}
	return r.applyWord(q.key, rec, state)
}

// askHolder returns what the holder remembers of the claim.
func (r *Replica) askHolder(ctx context.Context, q doubt) (State, bool) {
	request := holdsRequest{q.key, q.claim, q.attempt}
	if q.holder.SameIncarnation(r.self) {
		return r.serveHolds(ctx, r.self, request).State, true
	}
	ctx, cancel := context.WithTimeout(ctx, r.options.secondTimeout())
	defer cancel()
	reply, err := peer.Call[holdsRequest, holdsReply](ctx, r.transport, q.holder, methodHolds, request)
	return reply.State, err == nil
}

// applyWord changes a record to what its holder remembers, and reports whether it
// did. A claim that its holder does not know is over. The lock is held.
func (r *Replica) applyWord(key KeyHash, rec record, word State) bool {
	switch {
	case rec.state == StateClaimed && (word == 0 || word == stateWithdrawn):
		r.book.drop(key)
	case rec.state == StateCommitted && word == stateWithdrawn && !rec.has(flagTakenOver):
		r.book.set(key, rec, stateWithdrawn, time.Now())
	case rec.state == StateCommitted && (word == StateFinished || word == StateFailed):
		r.book.set(key, rec, word, time.Now())
	default:
		return false
	}
	return true
}

// serveHolds tells what this life remembers of a claim that it holds or held.
func (r *Replica) serveHolds(_ context.Context, _ domain.Member, request holdsRequest) holdsReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rec, ok := r.book.get(request.Key); ok && rec.claim == request.Claim && rec.state != StateClaimed {
		return holdsReply{rec.state}
	}
	if _, ok := r.open[openAttempt{request.Key, request.Attempt}]; ok {
		return holdsReply{StateClaimed}
	}
	return holdsReply{}
}
