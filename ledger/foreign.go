package ledger

import (
	"context"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/membership"
)

// A node need not follow the tables of other data centres: it asks their members
// when it meets a key of theirs, and again when a home does not answer.

// historyOf returns the latest table known of a data centre, or nil.
func (r *Replica) historyOf(dataCentre domain.DataCentre) *history {
	if dataCentre == r.self.DataCentre {
		return r.history.Load()
	}
	r.mu.Lock()
	known := r.foreign[dataCentre]
	r.mu.Unlock()
	return r.learn(known, r.options.Tables.Table(dataCentre))
}

// learn keeps the later of a known table of another data centre and one just met.
func (r *Replica) learn(known *history, met *Table) *history {
	if met == nil || known != nil && met.Epoch <= known.table.Epoch {
		return known
	}
	next := newHistory(met)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.foreign[met.DataCentre] = next
	return next
}

// refresh looks for a later table after a home has named another epoch.
func (r *Replica) refresh(ctx context.Context, t target, at route, epoch uint64) {
	dataCentre := t.key.Scope.DataCentre
	if dataCentre == r.self.DataCentre {
		r.catchUp(ctx, at.home, epoch)
		return
	}
	if epoch <= at.epoch {
		return
	}
	if met, err := r.fetchTable(ctx, at.home, dataCentre); err == nil {
		r.learn(r.historyOf(dataCentre), met)
	}
}

// refreshLost looks for a later table after a home of another data centre has not
// answered: it may be gone.
func (r *Replica) refreshLost(ctx context.Context, t target, at route) {
	scope := t.key.Scope
	if scope.Kind == domain.ScopeDataCentre && scope.DataCentre != r.self.DataCentre {
		r.askForTable(ctx, scope.DataCentre, &at.home)
	}
}

// maxAsked is how many members are asked for a table in one go.
const maxAsked = 2

// askForTable asks members of another data centre for its table, and returns the
// latest one known then, or nil.
func (r *Replica) askForTable(ctx context.Context, dataCentre domain.DataCentre, but *domain.Member) *history {
	if dataCentre == r.self.DataCentre || r.options.Membership == nil {
		return r.historyOf(dataCentre)
	}
	asked := 0
	peers := r.options.Membership.Current().Peers
	start := int(r.attempts.Load())
	for i := range peers {
		p := peers[(start+i)%len(peers)]
		if asked == maxAsked {
			break
		}
		if p.DataCentre != dataCentre || p.Status != membership.StatusAlive || but != nil && p.SameIncarnation(*but) {
			continue
		}
		asked++
		if met, err := r.fetchTable(ctx, p.Member, dataCentre); err == nil && met != nil {
			return r.learn(r.historyOf(dataCentre), met)
		}
	}
	return r.historyOf(dataCentre)
}
