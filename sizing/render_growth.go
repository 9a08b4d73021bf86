package sizing

// growthFractions are the fractions of the growth from the current deployment to the
// design size that the page shows.
var growthFractions = []float64{0, 0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1}

// growth renders the growth table, which shows at what size the current mechanisms
// exceed the limits, with and without the chosen replacements.
func (r *Renderer) growth() (string, error) {
	t := table{header: []string{"of the way", "nodes", "bytes a second", "", "with the chosen ways", "", "memory", "", "with the chosen ways", ""}}
	after := applyReplacements(Roles(), Replacements())
	for _, fraction := range growthFractions {
		s, err := NewInterpolatedScope(r.constants, fraction)
		if err != nil {
			return "", err
		}
		row := []string{Fraction.Format(fraction)}
		nodes, _ := r.constants.Parameter("nodes")
		row = append(row, formatConstant(float64(int(nodes.Interpolate(fraction)))))
		for _, limit := range []Limit{limitFor(Bytes), limitFor(Memory)} {
			for _, roles := range [][]Role{Roles(), after} {
				sum, err := sumForLimit(s, roles, interpretations[0], limit)
				if err != nil {
					return "", err
				}
				bound, _ := r.constants.Parameter(limit.Name)
				row = append(row, formatValue(sum, limit.Quantity.Unit()), limitStatus(sum, bound.Value))
			}
		}
		t.add(row...)
	}
	return t.String(), nil
}

// limitFor returns the limit on a quantity, or the zero Limit if there is none.
func limitFor(q Quantity) Limit {
	for _, limit := range Limits() {
		if limit.Quantity == q {
			return limit
		}
	}
	return Limit{}
}
