package ledger

import (
	"context"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

// adopt puts a later table of the local data centre into use. From then on this member
// takes part in no commit of an earlier epoch. Earlier tables are ignored.
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
	r.departureAges.observe(t, now)
	next := newHistory(t)
	r.history.Store(next)
	if old == nil || t.Epoch > old.table.Epoch {
		r.enterEpoch(old, next)
	}
	r.signal()
}

// enterEpoch applies a change of members to the local state. The lock is held.
func (r *Replica) enterEpoch(old, next *history) {
	if r.removedSince(old, next) {
		r.dropTableRecords()
	}
	r.dropStaleClaims(old, next)
	clear(r.exports)
	r.startRecovery(next)
	r.dropFormerMembers(next)
	r.meters.epochs.Inc()
}

// removedSince reports whether this incarnation was a member and has since been
// removed, even if it has joined again. The other members count its records as lost.
func (r *Replica) removedSince(old, next *history) bool {
	if old == nil {
		return false
	}
	was, ok := old.table.entryOf(r.self)
	if !ok {
		return false
	}
	is, ok := next.table.entryOf(r.self)
	return !ok || is.Joined != was.Joined
}

// dropTableRecords drops all records that this incarnation held as a member. Its open
// claims end with them, since a commit finds no record. The lock is held.
func (r *Replica) dropTableRecords() {
	r.records.dropWhere(func(_ KeyHash, rec record) bool { return rec.tableScoped() })
	r.ready = 0
}

// dropStaleClaims drops the claims that this member granted to other holders, unless it
// stayed the key's home up to the new epoch: a home in between may have revoked them.
// The lock is held.
func (r *Replica) dropStaleClaims(old, next *history) {
	if old == nil {
		return
	}
	self := r.records.members.intern(r.self)
	r.records.dropWhere(func(key KeyHash, rec record) bool {
		if !rec.tableScoped() || rec.state != StateClaimed || rec.holder == self {
			return false
		}
		return !next.homeDuring(r.self, key, old.table.Epoch, next.table.Epoch)
	})
}

// lossAge returns a function that gives a lower bound on the time since an incarnation
// was lost. The lock is held.
func (r *Replica) lossAge(now time.Time) func(Departure) time.Duration {
	return func(d Departure) time.Duration { return r.departureAges.age(d, now) }
}

// snapshot returns the adopted table with the current ages of its departures.
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

// catchUp adopts a table of at least the epoch that a peer has named, from the node's
// own copy or else from the peer.
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

// fetchTable requests a data centre's table from a peer.
func (r *Replica) fetchTable(ctx context.Context, from domain.Member, dataCentre domain.DataCentre) (*Table, error) {
	ctx, cancel := context.WithTimeout(ctx, r.options.TryTimeout)
	defer cancel()
	reply, err := peer.Call[tableRequest, tableReply](ctx, r.transport, from, methodTable, tableRequest{dataCentre})
	if err != nil {
		return nil, err
	}
	return reply.Table, nil
}

// serveTable returns the table of the requested data centre, as far as this node knows
// it.
func (r *Replica) serveTable(_ context.Context, _ domain.Member, request tableRequest) tableReply {
	if request.DataCentre != r.self.DataCentre {
		return tableReply{r.options.Tables.Table(request.DataCentre)}
	}
	return tableReply{r.snapshot()}
}
