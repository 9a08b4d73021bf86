package sizing

// growthParts are the parts of the way to the design size that the page shows.
var growthParts = []float64{0, 0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1}

// growth shows when the ways of today cease to carry the fleet.
func (r *Renderer) growth() (string, error) {
	t := table{header: []string{"of the way", "nodes", "bytes a second", "", "with the chosen ways", "", "memory", "", "with the chosen ways", ""}}
	after := replaced(Roles(), Replacements())
	for _, part := range growthParts {
		s, err := NewInterpolatedScope(r.constants, part)
		if err != nil {
			return "", err
		}
		row := []string{Fraction.Format(part)}
		nodes, _ := r.constants.Parameter("nodes")
		row = append(row, plain(float64(int(nodes.Interpolate(part)))))
		for _, limit := range []Limit{limitOn(Bytes), limitOn(Memory)} {
			for _, roles := range [][]Role{Roles(), after} {
				sum, err := total(s, roles, readings[0], limit)
				if err != nil {
					return "", err
				}
				bound, _ := r.constants.Parameter(limit.Name)
				row = append(row, show(sum, limit.Quantity.Unit()), verdict(sum, bound.Value))
			}
		}
		t.add(row...)
	}
	return t.String(), nil
}

// limitOn returns the limit on a quantity.
func limitOn(q Quantity) Limit {
	for _, limit := range Limits() {
		if limit.Quantity == q {
			return limit
		}
	}
	return Limit{}
}
