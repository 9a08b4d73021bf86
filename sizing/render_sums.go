package sizing

// reading is a way to understand which costs the users' limits are about.
type reading struct {
	name  string
	kinds []Kind
	// limited is false if no limit speaks of it.
	limited bool
}

var readings = []reading{
	{"control", []Kind{Control}, true},
	{"control and per-request coordination", []Kind{Control, Request}, true},
	{"callers' requests and answers themselves", []Kind{Data}, false},
}

// breaksMark is set where a sum is over its limit.
const breaksMark = "**breaks**"

func (r *Renderer) sums() (string, error) {
	t := table{header: []string{"counted", "quantity", "design", Cucine.String(), Pryce.String(), "limit", "at the design size"}}
	for _, way := range readings {
		for _, limit := range Limits() {
			if err := r.addSum(&t, way, limit); err != nil {
				return "", err
			}
		}
	}
	return t.String(), nil
}

func (r *Renderer) addSum(t *table, way reading, limit Limit) error {
	cells := []string{way.name, limit.Description}
	unit := limit.Quantity.Unit()
	var atDesign Value
	for _, d := range deployments {
		sum, err := total(r.scopes[d], Roles(), way, limit)
		if err != nil {
			return err
		}
		if d == Design {
			atDesign = sum
		}
		cells = append(cells, show(sum, unit))
	}
	if !way.limited {
		t.add(append(cells, notCounted, "not control: no limit")...)
		return nil
	}
	bound, _ := r.constants.Parameter(limit.Name)
	t.add(append(cells, unit.Format(bound.Value), verdict(atDesign, bound.Value))...)
	return nil
}

// total adds up a quantity over roles and the kinds of a reading.
func total(s *Scope, roles []Role, way reading, limit Limit) (Value, error) {
	var total Value
	for _, kind := range way.kinds {
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

// verdict compares a sum with its limit. A sum with parts not measured can break
// its limit but not keep it.
func verdict(sum Value, bound float64) string {
	switch {
	case sum.Amount > bound:
		return breaksMark
	case !sum.Complete():
		return "open: part " + notMeasured
	default:
		return "holds"
	}
}
