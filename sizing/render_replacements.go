package sizing

import "fmt"

func (r *Renderer) replacements() (string, error) {
	t := table{header: []string{"item", "way", "design", "formula", "remark"}}
	for _, rep := range Replacements() {
		if err := r.addReplacement(&t, rep); err != nil {
			return "", err
		}
	}
	after, err := r.sumsWithReplacements()
	if err != nil {
		return "", err
	}
	return t.String() + "\nThe sums with the chosen ways in place:\n\n" + after, nil
}

func (r *Renderer) addReplacement(t *table, rep Replacement) error {
	item, err := replacedItem(rep)
	if err != nil {
		return err
	}
	alternatives := append([]Alternative{{Name: "today's", Formula: item.Formula}}, rep.Alternatives...)
	for _, alternative := range alternatives {
		v, err := r.scopes[Design].Eval(alternative.Formula)
		if err != nil {
			return err
		}
		name := alternative.Name
		if alternative.Chosen {
			name = "**chosen:** " + name
		}
		t.add(rep.Role+": "+rep.ItemDescription, name, formatValue(v, item.Quantity.Unit()), codeSpan(string(alternative.Formula)), alternative.Remark)
	}
	return nil
}

// replacedItem returns the item that a replacement applies to.
func replacedItem(rep Replacement) (Item, error) {
	for _, role := range Roles() {
		for _, item := range role.Items {
			if role.Name == rep.Role && item.Description == rep.ItemDescription && item.Quantity == rep.quantity() {
				return item, nil
			}
		}
	}
	return Item{}, fmt.Errorf("%w: no item %s in role %s", ErrFormula, rep.ItemDescription, rep.Role)
}

func (r *Renderer) sumsWithReplacements() (string, error) {
	t := table{header: []string{"counted", "quantity", "today's ways", "chosen ways", "limit", "then"}}
	after := applyReplacements(Roles(), Replacements())
	for _, limit := range Limits() {
		current, err := sumForLimit(r.scopes[Design], Roles(), interpretations[0], limit)
		if err != nil {
			return "", err
		}
		withReplacements, err := sumForLimit(r.scopes[Design], after, interpretations[0], limit)
		if err != nil {
			return "", err
		}
		unit := limit.Quantity.Unit()
		bound, _ := r.constants.Parameter(limit.Name)
		t.add(interpretations[0].name, limit.Description, formatValue(current, unit), formatValue(withReplacements, unit), unit.Format(bound.Value), limitStatus(withReplacements, bound.Value))
	}
	return t.String(), nil
}

func (r *Renderer) peaks() (string, error) {
	t := table{header: []string{"node", "quantity", "design", Cucine.String(), Pryce.String(), "formula", "at the design size"}}
	for _, p := range Peaks() {
		cells, err := r.deploymentCells(p.Formula, p.Quantity.Unit())
		if err != nil {
			return "", err
		}
		v, err := r.scopes[Design].Eval(p.Formula)
		if err != nil {
			return "", err
		}
		t.add(append(append([]string{p.Description, p.Quantity.String()}, cells...), codeSpan(string(p.Formula)), r.peakStatus(p, v))...)
	}
	return t.String(), nil
}

func (r *Renderer) peakStatus(p Peak, v Value) string {
	bound, ok := r.constants.Parameter(p.Limit)
	if !ok {
		return "per request: no limit"
	}
	return limitStatus(v, bound.Value)
}
