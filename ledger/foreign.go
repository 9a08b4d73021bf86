package ledger

import (
	"context"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/membership"
)

// A node need not follow the tables of other data centres: it requests them from their
// members when it gets a key of theirs, and again when a home does not answer.

// historyOf returns the history of the latest known table of a data centre, or nil.
func (r *Replica) historyOf(dataCentre domain.DataCentre) *history {
	if dataCentre == r.self.DataCentre {
		return r.history.Load()
	}
	r.mu.Lock()
	known := r.foreign[dataCentre]
	r.mu.Unlock()
	return r.keepLaterTable(known, r.options.Tables.Table(dataCentre))
}

// keepLaterTable keeps the later of the known table of another data centre and a
// received one.
func (r *Replica) keepLaterTable(known *history, received *Table) *history {
	if received == nil || known != nil && received.Epoch <= known.table.Epoch {
		return known
	}
	next := newHistory(received)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.foreign[received.DataCentre] = next
	return next
}

// refreshTable looks for a later table after a home has named another epoch.
func (r *Replica) refreshTable(ctx context.Context, t target, at route, epoch uint64) {
	dataCentre := t.key.Scope.DataCentre
	if dataCentre == r.self.DataCentre {
		r.catchUp(ctx, at.home, epoch)
		return
	}
	if epoch <= at.epoch {
		return
	}
	if received, err := r.fetchTable(ctx, at.home, dataCentre); err == nil {
		r.keepLaterTable(r.historyOf(dataCentre), received)
	}
}

// refreshAfterFailure looks for a later table after a home of another data centre has
// not answered, since the home may have ended.
func (r *Replica) refreshAfterFailure(ctx context.Context, t target, at route) {
	scope := t.key.Scope
	if scope.Kind == domain.ScopeDataCentre && scope.DataCentre != r.self.DataCentre {
		r.queryTable(ctx, scope.DataCentre, &at.home)
	}
}

// maxTableQueries is the maximum number of members queried in one call of queryTable.
const maxTableQueries = 2

// queryTable requests the table of another data centre from its members and returns the
// latest known one, or nil.
func (r *Replica) queryTable(ctx context.Context, dataCentre domain.DataCentre, exclude *domain.Member) *history {
	if dataCentre == r.self.DataCentre || r.options.Membership == nil {
		return r.historyOf(dataCentre)
	}
	queried := 0
	peers := r.options.Membership.Current().Peers
	start := int(r.attempts.Load())
	for i := range peers {
		p := peers[(start+i)%len(peers)]
		if queried == maxTableQueries {
			break
		}
		if p.DataCentre != dataCentre || p.Status != membership.StatusAlive || exclude != nil && p.SameIncarnation(*exclude) {
			continue
		}
		queried++
		if received, err := r.fetchTable(ctx, p.Member, dataCentre); err == nil && received != nil {
			return r.keepLaterTable(r.historyOf(dataCentre), received)
		}
	}
	return r.historyOf(dataCentre)
}
