package coordinator

import (
	"cmp"
	"slices"

	"hawthornrill.example/hawthornrill/config"
)

// group is a set of models that share engines, directly or through other models,
// together with all these engines. An engine keeps one greatest fencing number, so
// only one process may send it orders: a group has one lease. A model whose engines
// serve no other model is a group of its own.
type group struct {
	// name is that of the first model in sorted order.
	name   string
	models []string
	rows   []*config.EndpointRow
}

// layout is the division of a configuration into groups.
type layout struct {
	groups  []*group
	byModel map[string]*group
}

// newLayout finds the groups by union-find over the models that share an engine.
// Rows are in the order of the table.
func newLayout(s *config.Snapshot) *layout {
	l := &layout{byModel: make(map[string]*group)}
	if s == nil {
		return l
	}
	parents := joinModels(s)
	for i := range s.Table.Endpoints {
		row := &s.Table.Endpoints[i]
		if models := modelsOfRow(row); len(models) > 0 {
			g := l.group(findRoot(parents, models[0]))
			g.rows = append(g.rows, row)
		}
	}
	for model := range parents {
		g := l.group(findRoot(parents, model))
		g.models = append(g.models, model)
		l.byModel[model] = g
	}
	for _, g := range l.groups {
		slices.Sort(g.models)
		slices.SortFunc(g.rows, func(a, b *config.EndpointRow) int { return cmp.Compare(a.ID, b.ID) })
	}
	return l
}

func (l *layout) group(name string) *group {
	for _, g := range l.groups {
		if g.name == name {
			return g
		}
	}
	g := &group{name: name}
	l.groups = append(l.groups, g)
	return g
}

// joinModels returns the union-find parents: each model points to a lesser model of
// its group, the least one to itself.
func joinModels(s *config.Snapshot) map[string]string {
	parents := make(map[string]string)
	for i := range s.Table.Endpoints {
		models := modelsOfRow(&s.Table.Endpoints[i])
		for _, m := range models {
			if _, ok := parents[m]; !ok {
				parents[m] = m
			}
			a, b := findRoot(parents, models[0]), findRoot(parents, m)
			parents[max(a, b)] = min(a, b)
		}
	}
	return parents
}

func findRoot(parents map[string]string, model string) string {
	for parents[model] != model {
		model = parents[model]
	}
	return model
}

// modelsOfRow returns the models that a row allows, sorted; none for a plain
// service.
func modelsOfRow(row *config.EndpointRow) []string {
	if row.Kind != config.KindEngine {
		return nil
	}
	var models []string
	for _, pool := range row.PoolNames() {
		if model, ok := modelOfPool(pool); ok {
			models = append(models, model)
		}
	}
	slices.Sort(models)
	return slices.Compact(models)
}
