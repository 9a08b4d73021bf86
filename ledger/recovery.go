package ledger

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

// recovery is this member's progress in one epoch: collect the records of its
// keys from all other members, see that each is held twice, report it.
type recovery struct {
	epoch   uint64
	history *history
	// pending are the members that have not yet sent all they have.
	pending map[domain.Member]struct{}
	// protected and reported tell that the later steps are done.
	protected bool
	reported  bool
	// superseded is closed when a later epoch begins.
	superseded chan struct{}
}

// within returns a context that also ends when the recovery is superseded: what
// waits for a member that does not answer must not hold up the next epoch.
func (x *recovery) within(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-x.superseded:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// maxParallelCalls bounds the members that are asked at once.
const maxParallelCalls = 8

// startRecovery plans what the epoch asks of this member. The lock is held.
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

// completeIfCollected makes this member ready when nobody is left to be asked. The
// lock is held.
func (r *Replica) completeIfCollected() {
	if r.recovery != nil && len(r.recovery.pending) == 0 {
		r.ready = r.recovery.epoch
	}
}

// recover does what it can of the current recovery, and reports whether something
// is left to be done.
func (r *Replica) recover(ctx context.Context) (again bool) {
	x, pending := r.pendingMembers()
	if x == nil {
		return false
	}
	ctx, cancel := x.within(ctx)
	defer cancel()
	r.collectAll(ctx, x.epoch, pending)
	r.confirmAll(ctx)
	if !r.collected(x.epoch) {
		return true
	}
	if !r.protectAll(ctx, x.epoch) {
		return true
	}
	return !r.reportSettled(ctx, x.epoch) || !r.decides()
}

// pendingMembers returns the current recovery and who is to be asked, or nil if
// all is done. A member that has heard of too few others goes on: the table may be
// settled by the others' word before it has heard of any, and it would decide about
// no key until the next round of confirmAll, up to a quarter of Options.FenceTimeout
// later.
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

// collected reports whether all members have been asked in the epoch.
func (r *Replica) collected(epoch uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recovery != nil && r.recovery.epoch == epoch && len(r.recovery.pending) == 0
}

// collectAll asks the members, a few at a time.
func (r *Replica) collectAll(ctx context.Context, epoch uint64, members []domain.Member) {
	eachOf(members, func(m domain.Member) { r.collectFrom(ctx, epoch, m) })
}

// eachOf calls f for each member, a few at a time, and waits for all.
func eachOf(members []domain.Member, f func(domain.Member)) {
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

// collectFrom takes in, page by page, what one member holds of this one's keys. By
// its first reply the member is in the epoch.
func (r *Replica) collectFrom(ctx context.Context, epoch uint64, member domain.Member) {
	request := collectRequest{Epoch: epoch}
	for {
		called := time.Now()
		reply, err := r.collectPage(ctx, member, request)
		if err != nil {
			return
		}
		r.hear(member, reply.Epoch, called)
		if reply.Status != statusOK {
			r.catchUp(ctx, member, reply.Epoch)
			return
		}
		if !r.takeIn(epoch, member, reply) || reply.Next == nil {
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

// takeIn merges a page, and ends the collection from the member with its last one.
// It reports whether the epoch is still being recovered.
func (r *Replica) takeIn(epoch uint64, member domain.Member, reply collectReply) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.recovery == nil || r.recovery.epoch != epoch {
		return false
	}
	now := time.Now()
	witness := r.recovery.history.table.Eligible(member)
	for _, e := range reply.Entries {
		if r.book.merge(e, now) && witness {
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
	rec, ok := r.book.get(key)
	if !ok {
		return
	}
	rec.witness = r.book.members.number(member)
	rec.flags &^= flagPending
	r.book.records[key] = rec
}
