package sizing

import "fmt"

func (r *Renderer) roles() (string, error) {
	header := []string{"role", "kind"}
	for _, q := range Quantities() {
		header = append(header, q.String())
	}
	t := table{header: append(header, "carried by")}
	for _, role := range Roles() {
		for _, kind := range []Kind{Control, Request, Data} {
			cells, used, err := r.roleCells(role, kind)
			if err != nil {
				return "", err
			}
			if used {
				t.add(append(append([]string{role.Name, kind.String()}, cells...), role.Mechanism)...)
			}
		}
	}
	return t.String(), nil
}

// notCounted is the cell text for a quantity of which a role has no item.
const notCounted = "-"

// roleCells returns the cells with a role's sums of one kind, one for each quantity.
// used reports whether the role has any item of that kind.
func (r *Renderer) roleCells(role Role, kind Kind) (cells []string, used bool, err error) {
	for _, q := range Quantities() {
		if !role.counts(q, kind) {
			cells = append(cells, notCounted)
			continue
		}
		used = true
		v, err := role.Sum(r.scopes[Design], q, kind)
		if err != nil {
			return nil, false, err
		}
		cells = append(cells, formatValue(v, q.Unit()))
	}
	return cells, used, nil
}

func (r *Renderer) items() (string, error) {
	t := table{header: []string{"role", "what", "kind", "design", Cucine.String(), Pryce.String(), "formula"}}
	for _, role := range Roles() {
		for _, item := range role.Items {
			cells, err := r.deploymentCells(item.Formula, item.Quantity.Unit())
			if err != nil {
				return "", err
			}
			what := fmt.Sprintf("%s (%s)", item.Description, item.Quantity)
			t.add(append(append([]string{role.Name, what, item.Kind.String()}, cells...), codeSpan(string(item.Formula)))...)
		}
	}
	return t.String(), nil
}
