package coordinator

import (
	"cmp"
	"slices"

	"hawthornrill.example/hawthornrill/config"
)

// group is the models that share engines, directly or through others, with all
// these engines. An engine has one greatest fencing number, so it must have one
// giver of orders: a group has one lease. A model whose engines serve nothing
// else is a group by itself.
type group struct {
	// name is the first model's.
	name   string
	models []string
	rows   []*config.EndpointRow
}

// layout is the groups of a configuration.
type layout struct {
	groups  []*group
	byModel map[string]*group
}

// newLayout finds the groups. Rows are in the order of the table.
func newLayout(s *config.Snapshot) *layout {
	l := &layout{byModel: make(map[string]*group)}
	if s == nil {
		return l
	}
	first := joinModels(s)
	for i := range s.Table.Endpoints {
		row := &s.Table.Endpoints[i]
		if models := modelsOf(row); len(models) > 0 {
			g := l.group(root(first, models[0]))
			g.rows = append(g.rows, row)
		}
	}
	for model := range first {
		g := l.group(root(first, model))
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

// joinModels points each model to a lesser one of its group, the first to itself.
func joinModels(s *config.Snapshot) map[string]string {
	first := make(map[string]string)
	for i := range s.Table.Endpoints {
		models := modelsOf(&s.Table.Endpoints[i])
		for _, m := range models {
			if _, ok := first[m]; !ok {
				first[m] = m
			}
			a, b := root(first, models[0]), root(first, m)
			first[max(a, b)] = min(a, b)
		}
	}
	return first
}

func root(first map[string]string, model string) string {
	for first[model] != model {
		model = first[model]
	}
	return model
}

// modelsOf returns the models that a row allows, sorted; none for a service.
func modelsOf(row *config.EndpointRow) []string {
	if row.Kind != config.KindEngine {
		return nil
	}
	var models []string
	for _, pool := range row.PoolNames() {
		if model, ok := modelOf(pool); ok {
			models = append(models, model)
		}
	}
	slices.Sort(models)
	return slices.Compact(models)
}
