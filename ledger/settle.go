package ledger

import (
	"context"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

// settlementCounter returns the member that counts the settlement reports of the epoch.
func settlementCounter(h *history) (domain.Member, bool) {
	return topRanked(h.current(), KeyHash{})
}

// reportSettled notifies the counting member that this one has all records of its keys and
// that a second member holds each. It reports whether the table already records the
// settlement.
func (r *Replica) reportSettled(ctx context.Context, epoch uint64) bool {
	h := r.history.Load()
	if h.table.Epoch != epoch {
		return false
	}
	if h.table.Settled() >= epoch {
		r.markReported(epoch)
		return true
	}
	if r.options.Editor == nil {
		r.markReported(epoch)
		return true
	}
	to, ok := settlementCounter(h)
	if !ok {
		return false
	}
	if to.SameIncarnation(r.self) {
		r.serveSettled(ctx, r.self, settledRequest{epoch})
		return r.recordSettlement(ctx, h)
	}
	ctx, cancel := context.WithTimeout(ctx, r.options.TryTimeout)
	defer cancel()
	called := time.Now()
	reply, err := peer.Call[settledRequest, statusReply](ctx, r.transport, to, methodSettled, settledRequest{epoch})
	if err == nil {
		r.noteConfirmed(to, reply.Epoch, called)
	}
	return false
}

// markReported completes the recovery of the epoch.
func (r *Replica) markReported(epoch uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.recovery != nil && r.recovery.epoch == epoch {
		r.recovery.reported = true
	}
}

// serveSettled counts a member's settlement report.
func (r *Replica) serveSettled(ctx context.Context, from domain.Member, request settledRequest) statusReply {
	r.catchUp(ctx, from, request.Epoch)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.epoch() != request.Epoch {
		return statusReply{statusStale, r.epoch()}
	}
	if r.settledBy[from] != request.Epoch {
		r.settledBy[from] = request.Epoch
		r.signal()
	}
	return statusReply{statusOK, request.Epoch}
}

// recordSettlement writes the settlement into the table once all eligible members have
// reported. It reports whether it is written.
func (r *Replica) recordSettlement(ctx context.Context, h *history) bool {
	if !r.allSettled(h) {
		return false
	}
	t, err := r.options.Editor.Edit(ctx, Settle(h.table.Epoch))
	if err != nil {
		r.options.Logger.Warn().Err(err).Uint64("epoch", h.table.Epoch).Msg("cannot record settlement in the ledger table")
		return false
	}
	r.adopt(t)
	r.markReported(h.table.Epoch)
	return true
}

func (r *Replica) allSettled(h *history) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range h.current() {
		if r.settledBy[c.member] != h.table.Epoch {
			return false
		}
	}
	for member := range r.settledBy {
		if !h.table.Contains(member) {
			delete(r.settledBy, member)
		}
	}
	return true
}
