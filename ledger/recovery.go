package ledger

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

// recovery is this member's progress in one epoch: collect the records of its keys from
// all other members, ensure that a second member holds each, and report it.
type recovery struct {
	epoch   uint64
	history *history
	// pending are the members that have not sent all their records yet.
	pending map[domain.Member]struct{}
	// replicated and reported are set when the later steps are done.
	replicated bool
	reported   bool
	// superseded is closed when a later epoch begins.
	superseded chan struct{}
}

// untilSuperseded returns a context that also ends when the recovery is superseded:
// waiting for a member that does not answer must not delay the next epoch.
func (rc *recovery) untilSuperseded(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-rc.superseded:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// maxParallelCalls bounds the number of concurrent calls.
const maxParallelCalls = 8

// startRecovery sets up the recovery of an epoch. The lock is held.
func (r *Replica) startRecovery(h *history) {
	if r.recovery != nil {
		close(r.recovery.superseded)
	}
	r.recovery = nil
	if !h.table.Eligible(r.self) {
		r.ready = 0
		return
	}
	r.recovery = &recovery{
		epoch:      h.table.Epoch,
		history:    h,
		pending:    make(map[domain.Member]struct{}),
		superseded: make(chan struct{}),
	}
	if r.ready != 0 && h.onlyJoinsSince(r.ready) {
		r.ready = h.table.Epoch
		return
	}
	for _, m := range h.table.Members {
		if !m.Member.SameIncarnation(r.self) {
			r.recovery.pending[m.Member] = struct{}{}
		}
	}
	r.completeIfCollected()
}

// completeIfCollected marks this member as ready when no member is pending. The lock is
// held.
func (r *Replica) completeIfCollected() {
	if r.recovery != nil && len(r.recovery.pending) == 0 {
		r.ready = r.recovery.epoch
	}
}

// recover advances the current recovery as far as possible, and reports whether it has
// to be continued.
func (r *Replica) recover(ctx context.Context) (unfinished bool) {
	rc, pending := r.pendingMembers()
	if rc == nil {
		return false
	}
	ctx, cancel := rc.untilSuperseded(ctx)
	defer cancel()
	r.collectAll(ctx, rc.epoch, pending)
	r.confirmAll(ctx)
	if !r.collected(rc.epoch) {
		return true
	}
	if !r.replicateAll(ctx, rc.epoch) {
		return true
	}
	return !r.reportSettled(ctx, rc.epoch) || !r.unfenced()
}

// pendingMembers returns the current recovery and its pending members, or nil if all is
// done. A fenced member goes on: the other members' reports may settle the table before
// any of them has confirmed the epoch to this one, and it would decide about no key
// until the next round of confirmAll, up to a quarter of Options.FenceTimeout later.
func (r *Replica) pendingMembers() (*recovery, []domain.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.recovery == nil || r.recovery.reported && !r.fenced(r.recovery.history, time.Now()) {
		return nil, nil
	}
	var members []domain.Member
	for m := range r.recovery.pending {
		members = append(members, m)
	}
	return r.recovery, members
}

// collected reports whether the records of all members have been collected in the
// epoch.
func (r *Replica) collected(epoch uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recovery != nil && r.recovery.epoch == epoch && len(r.recovery.pending) == 0
}

// collectAll collects from the members, with bounded concurrency.
func (r *Replica) collectAll(ctx context.Context, epoch uint64, members []domain.Member) {
	forEachMember(members, func(m domain.Member) { r.collectFrom(ctx, epoch, m) })
}

// forEachMember calls f for each member with bounded concurrency, and waits for all
// calls.
func forEachMember(members []domain.Member, f func(domain.Member)) {
	var group errgroup.Group
	group.SetLimit(maxParallelCalls)
	for _, m := range members {
		group.Go(func() error {
			f(m)
			return nil
		})
	}
	_ = group.Wait()
}

// collectFrom collects, page by page, the records of this member's keys that another
// member holds. From its first reply on the other member is in the epoch.
func (r *Replica) collectFrom(ctx context.Context, epoch uint64, member domain.Member) {
	request := collectRequest{Epoch: epoch}
	for {
		called := time.Now()
		reply, err := r.collectPage(ctx, member, request)
		if err != nil {
			return
		}
		r.noteConfirmed(member, reply.Epoch, called)
		if reply.Status != statusOK {
			r.catchUp(ctx, member, reply.Epoch)
			return
		}
		if !r.mergePage(epoch, member, reply) || reply.Next == nil {
			return
		}
		request.After = reply.Next
	}
}

func (r *Replica) collectPage(ctx context.Context, member domain.Member, request collectRequest) (collectReply, error) {
	ctx, cancel := context.WithTimeout(ctx, r.options.CallTimeout)
	defer cancel()
	return peer.Call[collectRequest, collectReply](ctx, r.transport, member, methodCollect, request)
}

// mergePage merges a page, and ends the collection from the member after its last page.
// It reports whether the epoch is still being recovered.
func (r *Replica) mergePage(epoch uint64, member domain.Member, reply collectReply) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.recovery == nil || r.recovery.epoch != epoch {
		return false
	}
	now := time.Now()
	witness := r.recovery.history.table.Eligible(member)
	for _, e := range reply.Entries {
		if r.records.merge(e, now) && witness {
			r.noteWitness(e.Key, member)
		}
	}
	r.meters.collected.Add(len(reply.Entries))
	if reply.Next == nil {
		delete(r.recovery.pending, member)
		r.completeIfCollected()
	}
	return true
}

// noteWitness records that a member holds the same record. The lock is held.
func (r *Replica) noteWitness(key KeyHash, member domain.Member) {
	rec, ok := r.records.get(key)
	if !ok {
		return
	}
	rec.witness = r.records.members.intern(member)
	rec.flags &^= flagPending
	r.records.byKey[key] = rec
}
