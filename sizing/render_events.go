package sizing

func (r *Renderer) events() (string, error) {
	t := table{header: []string{"event", "what", "design", Cucine.String(), Pryce.String(), "formula"}}
	for _, event := range Events() {
		for _, m := range event.Estimates {
			cells, err := r.figures(m.Formula, m.Unit)
			if err != nil {
				return "", err
			}
			t.add(append(append([]string{event.Name, m.Description}, cells...), code(string(m.Formula)))...)
		}
	}
	seen := table{header: []string{"event", "what callers see", "carried by"}}
	for _, event := range Events() {
		seen.add(event.Name, event.CallerImpact, event.Mechanism)
	}
	return t.String() + "\n" + seen.String(), nil
}

func (r *Renderer) latency() (string, error) {
	t := table{header: []string{"aim", "hop", "design", "formula"}}
	for _, aim := range []LatencyTarget{FirstToken, TokenGap} {
		if err := r.addHops(&t, aim); err != nil {
			return "", err
		}
	}
	return t.String(), nil
}

func (r *Renderer) addHops(t *table, aim LatencyTarget) error {
	var near, far Value
	for _, hop := range Hops() {
		if hop.Target != aim {
			continue
		}
		v, err := r.scopes[Design].Eval(hop.Formula)
		if err != nil {
			return err
		}
		far = far.Add(v)
		if !hop.CrossRegion {
			near = near.Add(v)
		}
		t.add(aim.String(), hop.Description, show(v, Seconds), code(string(hop.Formula)))
	}
	limit, err := r.scopes[Design].Eval(aim.Limit())
	if err != nil {
		return err
	}
	t.add(aim.String(), "**sum without the hops between regions**", share(near, limit), "")
	t.add(aim.String(), "**sum with them**", share(far, limit), "")
	return nil
}

// share prints a sum with the part of the limit that it takes.
func share(sum, limit Value) string {
	text := show(sum, Seconds) + " of " + show(limit, Seconds)
	return text + " (" + digits(sum.Amount/limit.Amount*100) + " %)"
}

func (r *Renderer) store() (string, error) {
	t := table{header: []string{"purpose", "counts as", "when", "design", Cucine.String(), Pryce.String(), "formula"}}
	for _, call := range StoreCalls() {
		cells, err := r.figures(call.Formula, PerSecond)
		if err != nil {
			return "", err
		}
		t.add(append(append([]string{call.Purpose, call.kind(), call.When}, cells...), code(string(call.Formula)))...)
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
		cells = append(cells, show(sum, PerSecond))
	}
	name := "store_reads_per_second"
	if write {
		name = "store_writes_per_second"
	}
	bound, _ := r.constants.Parameter(name)
	t.add(append(cells, PerSecond.Format(bound.Value)+" allowed: "+verdict(atDesign, bound.Value))...)
	return nil
}
