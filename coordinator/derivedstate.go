package coordinator

import (
	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/membership"
)

// derivedState is computed from a configuration and a membership snapshot, whenever
// either changes.
type derivedState struct {
	table   *config.Snapshot
	members *membership.Snapshot
	layout  *layout
	// candidates is keyed by group name.
	candidates map[string][]domain.Member
}

func newDerivedState(table *config.Snapshot, members *membership.Snapshot, count int) *derivedState {
	d := &derivedState{table: table, members: members, layout: newLayout(table), candidates: make(map[string][]domain.Member)}
	for _, g := range d.layout.groups {
		d.candidates[g.name] = candidates(g.name, members, count)
	}
	return d
}

func (d *derivedState) isFor(table *config.Snapshot, members *membership.Snapshot) bool {
	return d.table == table && d.members == members
}

// candidatesForModel returns the candidates of the group of the model.
func (d *derivedState) candidatesForModel(model string) []domain.Member {
	g := d.layout.byModel[model]
	if g == nil {
		return nil
	}
	return d.candidates[g.name]
}
