package coordinator

import (
	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/membership"
)

// outlook is what follows from a configuration and the members. It is computed
// when either changes.
type outlook struct {
	table   *config.Snapshot
	members *membership.Snapshot
	layout  *layout
	// candidates by group.
	candidates map[string][]domain.Member
}

func newOutlook(table *config.Snapshot, members *membership.Snapshot, count int) *outlook {
	o := &outlook{table: table, members: members, layout: newLayout(table), candidates: make(map[string][]domain.Member)}
	for _, g := range o.layout.groups {
		o.candidates[g.name] = candidates(g.name, members, count)
	}
	return o
}

func (o *outlook) of(table *config.Snapshot, members *membership.Snapshot) bool {
	return o.table == table && o.members == members
}

// candidatesOf returns those of the model's group.
func (o *outlook) candidatesOf(model string) []domain.Member {
	g := o.layout.byModel[model]
	if g == nil {
		return nil
	}
	return o.candidates[g.name]
}
