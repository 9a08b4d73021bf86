package ledger

import (
	"context"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

// adopt takes a later table of the own data centre into use. From then on this
// member takes part in no commit of an earlier epoch. An earlier table is ignored.
func (r *Replica) adopt(t *Table) {
	if t == nil || t.DataCentre != r.self.DataCentre {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.history.Load()
	if old != nil && (t.Epoch < old.table.Epoch || t.Revision <= old.table.Revision) {
		return
	}
	now := time.Now()
	r.lost.note(t, now)
	next := newHistory(t)
	r.history.Store(next)
	if old == nil || t.Epoch > old.table.Epoch {
		r.enterEpoch(old, next)
	}
	r.signal()
}

// enterEpoch does what a change of members asks for. The lock is held.
func (r *Replica) enterEpoch(old, next *history) {
	if r.removedSince(old, next) {
		r.forgetTabled()
	}
	r.dropStaleClaims(old, next)
	clear(r.exports)
	r.startRecovery(next)
	r.forgetUnheard(next)
	r.meters.epochs.Inc()
}

// removedSince reports whether this life was a member and is not the same member
// any more. The others count its memory as lost.
func (r *Replica) removedSince(old, next *history) bool {
	if old == nil {
		return false
	}
	was, ok := old.table.life(r.self)
	if !ok {
		return false
	}
	is, ok := next.table.life(r.self)
	return !ok || is.Joined != was.Joined
}

// forgetTabled drops all that this life knew as a member. Its open claims end with
// it: a commit finds no record. The lock is held.
func (r *Replica) forgetTabled() {
	r.book.dropWhere(func(_ KeyHash, rec record) bool { return rec.tabled() })
	r.ready = 0
}

// dropStaleClaims drops other holders' claims that this member gave, unless it
// was the key's home up to the new epoch: a home in between may have revoked them.
// The lock is held.
func (r *Replica) dropStaleClaims(old, next *history) {
	if old == nil {
		return
	}
	self := r.book.members.number(r.self)
	r.book.dropWhere(func(key KeyHash, rec record) bool {
		if !rec.tabled() || rec.state != StateClaimed || rec.holder == self {
			return false
		}
		return !next.homeDuring(r.self, key, old.table.Epoch, next.table.Epoch)
	})
}

// lossAge returns how long ago a life was lost, or less. The lock is held.
func (r *Replica) lossAge(now time.Time) func(Departure) time.Duration {
	return func(d Departure) time.Duration { return r.lost.age(d, now) }
}

// snapshot returns the adopted table with the ages of its departures as of now.
func (r *Replica) snapshot() *Table {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.history.Load()
	if h == nil {
		return nil
	}
	age := r.lossAge(time.Now())
	t := h.table.clone()
	for i, d := range t.Departed {
		t.Departed[i].Age = age(d)
	}
	return t
}

// catchUp adopts a table of at least the epoch that a peer has named, from the
// node's own copy or from the peer.
func (r *Replica) catchUp(ctx context.Context, from domain.Member, epoch uint64) {
	if epoch <= r.epoch() {
		return
	}
	r.adopt(r.options.Tables.Table(r.self.DataCentre))
	if epoch <= r.epoch() || from.SameIncarnation(r.self) {
		return
	}
	if t, err := r.fetchTable(ctx, from, r.self.DataCentre); err == nil {
		r.adopt(t)
	}
}

// fetchTable asks a peer for a data centre's table.
func (r *Replica) fetchTable(ctx context.Context, from domain.Member, dataCentre domain.DataCentre) (*Table, error) {
	ctx, cancel := context.WithTimeout(ctx, r.options.TryTimeout)
	defer cancel()
	reply, err := peer.Call[tableRequest, tableReply](ctx, r.transport, from, methodTable, tableRequest{dataCentre})
	if err != nil {
		return nil, err
	}
	return reply.Table, nil
}

// serveTable gives the table of this node's data centre.
func (r *Replica) serveTable(_ context.Context, _ domain.Member, request tableRequest) tableReply {
	if request.DataCentre != r.self.DataCentre {
		return tableReply{r.options.Tables.Table(request.DataCentre)}
	}
	return tableReply{r.snapshot()}
}
