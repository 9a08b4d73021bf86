package sizing

import "fmt"

func (r *Renderer) replacements() (string, error) {
	t := table{header: []string{"item", "way", "design", "formula", "remark"}}
	for _, rep := range Replacements() {
		if err := r.addReplacement(&t, rep); err != nil {
			return "", err
		}
	}
	after, err := r.sumsAfter()
	if err != nil {
		return "", err
	}
	return t.String() + "\nThe sums with the chosen ways in place:\n\n" + after, nil
}

func (r *Renderer) addReplacement(t *table, rep Replacement) error {
	item, err := findItem(rep)
	if err != nil {
		return err
	}
	ways := append([]Alternative{{Name: "today's", Formula: item.Formula}}, rep.Alternatives...)
	for _, way := range ways {
		v, err := r.scopes[Design].Eval(way.Formula)
		if err != nil {
			return err
		}
		name := way.Name
		if way.Chosen {
			name = "**chosen:** " + name
		}
		t.add(rep.Role+": "+rep.ItemDescription, name, show(v, item.Quantity.Unit()), code(string(way.Formula)), way.Remark)
	}
	return nil
}

// findItem returns the item that a replacement is about.
func findItem(rep Replacement) (Item, error) {
	for _, role := range Roles() {
		for _, item := range role.Items {
			if role.Name == rep.Role && item.Description == rep.ItemDescription && item.Quantity == rep.quantity() {
				return item, nil
			}
		}
	}
	return Item{}, fmt.Errorf("%w: no item %s of %s", ErrFormula, rep.ItemDescription, rep.Role)
}

func (r *Renderer) sumsAfter() (string, error) {
	t := table{header: []string{"counted", "quantity", "today's ways", "chosen ways", "limit", "then"}}
	after := replaced(Roles(), Replacements())
	for _, limit := range Limits() {
		before, err := total(r.scopes[Design], Roles(), readings[0], limit)
		if err != nil {
			return "", err
		}
		then, err := total(r.scopes[Design], after, readings[0], limit)
		if err != nil {
			return "", err
		}
		unit := limit.Quantity.Unit()
		bound, _ := r.constants.Parameter(limit.Name)
		t.add(readings[0].name, limit.Description, show(before, unit), show(then, unit), unit.Format(bound.Value), verdict(then, bound.Value))
	}
	return t.String(), nil
}

func (r *Renderer) peaks() (string, error) {
	t := table{header: []string{"node", "quantity", "design", Cucine.String(), Pryce.String(), "formula", "at the design size"}}
	for _, p := range Peaks() {
		cells, err := r.figures(p.Formula, p.Quantity.Unit())
		if err != nil {
			return "", err
		}
		v, err := r.scopes[Design].Eval(p.Formula)
		if err != nil {
			return "", err
		}
		t.add(append(append([]string{p.Description, p.Quantity.String()}, cells...), code(string(p.Formula)), r.peakVerdict(p, v))...)
	}
	return t.String(), nil
}

func (r *Renderer) peakVerdict(p Peak, v Value) string {
	bound, ok := r.constants.Parameter(p.Limit)
	if !ok {
		return "per request: no limit"
	}
	return verdict(v, bound.Value)
}
