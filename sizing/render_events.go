package sizing

func (r *Renderer) events() (string, error) {
	t := table{header: []string{"event", "what", "design", Cucine.String(), Pryce.String(), "formula"}}
	for _, event := range Events() {
		for _, m := range event.Estimates {
			cells, err := r.deploymentCells(m.Formula, m.Unit)
			if err != nil {
				return "", err
			}
			t.add(append(append([]string{event.Name, m.Description}, cells...), codeSpan(string(m.Formula)))...)
		}
	}
	impact := table{header: []string{"event", "what callers see", "carried by"}}
	for _, event := range Events() {
		impact.add(event.Name, event.CallerImpact, event.Mechanism)
	}
	return t.String() + "\n" + impact.String(), nil
}

func (r *Renderer) latency() (string, error) {
	t := table{header: []string{"aim", "hop", "design", "formula"}}
	for _, target := range []LatencyTarget{FirstToken, TokenGap} {
		if err := r.addHops(&t, target); err != nil {
			return "", err
		}
	}
	return t.String(), nil
}

func (r *Renderer) addHops(t *table, target LatencyTarget) error {
	var withinRegion, total Value
	for _, hop := range Hops() {
		if hop.Target != target {
			continue
		}
		v, err := r.scopes[Design].Eval(hop.Formula)
		if err != nil {
			return err
		}
		total = total.Add(v)
		if !hop.CrossRegion {
			withinRegion = withinRegion.Add(v)
		}
		t.add(target.String(), hop.Description, formatValue(v, Seconds), codeSpan(string(hop.Formula)))
	}
	limit, err := r.scopes[Design].Eval(target.Limit())
	if err != nil {
		return err
	}
	t.add(target.String(), "**sum without the hops between regions**", formatShareOfLimit(withinRegion, limit), "")
	t.add(target.String(), "**sum with them**", formatShareOfLimit(total, limit), "")
	return nil
}

// formatShareOfLimit formats a latency, its limit and the percentage of the limit that
// it uses.
func formatShareOfLimit(sum, limit Value) string {
	text := formatValue(sum, Seconds) + " of " + formatValue(limit, Seconds)
	return text + " (" + formatSignificant(sum.Amount/limit.Amount*100) + " %)"
}

func (r *Renderer) store() (string, error) {
	t := table{header: []string{"purpose", "counts as", "when", "design", Cucine.String(), Pryce.String(), "formula"}}
	for _, call := range StoreCalls() {
		cells, err := r.deploymentCells(call.Formula, PerSecond)
		if err != nil {
			return "", err
		}
		t.add(append(append([]string{call.Purpose, call.kind(), call.When}, cells...), codeSpan(string(call.Formula)))...)
	}
	for _, write := range []bool{true, false} {
		if err := r.addStoreSum(&t, write); err != nil {
			return "", err
		}
	}
	return t.String(), nil
}

func (r *Renderer) addStoreSum(t *table, write bool) error {
	cells := []string{"**all of the time**", StoreCall{Write: write}.kind(), ""}
	var atDesign Value
	for _, d := range deployments {
		sum, err := storeSum(r.scopes[d], write)
		if err != nil {
			return err
		}
		if d == Design {
			atDesign = sum
		}
		cells = append(cells, formatValue(sum, PerSecond))
	}
	name := "store_reads_per_second"
	if write {
		name = "store_writes_per_second"
	}
	bound, _ := r.constants.Parameter(name)
	t.add(append(cells, PerSecond.Format(bound.Value)+" allowed: "+limitStatus(atDesign, bound.Value))...)
	return nil
}
