package sizing

// interpretation is one interpretation of which kinds of cost the users' limits cover.
type interpretation struct {
	name  string
	kinds []Kind
	// hasLimit is false if no limit applies to these kinds.
	hasLimit bool
}

var interpretations = []interpretation{
	{"control", []Kind{Control}, true},
	{"control and per-request coordination", []Kind{Control, Request}, true},
	{"callers' requests and answers themselves", []Kind{Data}, false},
}

// exceededMark is the cell text for a sum that exceeds its limit.
const exceededMark = "**breaks**"

func (r *Renderer) sums() (string, error) {
	t := table{header: []string{"counted", "quantity", "design", Cucine.String(), Pryce.String(), "limit", "at the design size"}}
	for _, view := range interpretations {
		for _, limit := range Limits() {
			if err := r.addSum(&t, view, limit); err != nil {
				return "", err
			}
		}
	}
	return t.String(), nil
}

func (r *Renderer) addSum(t *table, view interpretation, limit Limit) error {
	cells := []string{view.name, limit.Description}
	unit := limit.Quantity.Unit()
	var atDesign Value
	for _, d := range deployments {
		sum, err := sumForLimit(r.scopes[d], Roles(), view, limit)
		if err != nil {
			return err
		}
		if d == Design {
			atDesign = sum
		}
		cells = append(cells, formatValue(sum, unit))
	}
	if !view.hasLimit {
		t.add(append(cells, notCounted, "not control: no limit")...)
		return nil
	}
	bound, _ := r.constants.Parameter(limit.Name)
	t.add(append(cells, unit.Format(bound.Value), limitStatus(atDesign, bound.Value))...)
	return nil
}

// sumForLimit adds up the limit's quantity over the roles and the kinds of an
// interpretation, and multiplies the sum by the limit's factor.
func sumForLimit(s *Scope, roles []Role, view interpretation, limit Limit) (Value, error) {
	var total Value
	for _, kind := range view.kinds {
		sum, err := Sum(s, roles, limit.Quantity, kind)
		if err != nil {
			return Value{}, err
		}
		total = total.Add(sum)
	}
	factor, err := s.Eval(limit.Factor)
	if err != nil {
		return Value{}, err
	}
	total.Amount *= factor.Amount
	total.Assumed = total.Assumed || factor.Assumed
	return total, nil
}

// limitStatus compares a sum with its limit. A sum that lacks unmeasured parts can
// exceed its limit, but is never reported as within it.
func limitStatus(sum Value, bound float64) string {
	switch {
	case sum.Amount > bound:
		return exceededMark
	case !sum.Complete():
		return "open: part " + notMeasured
	default:
		return "holds"
	}
}
