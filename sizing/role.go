package sizing

// Role is a component of a node, with its costs and the mechanism behind them.
type Role struct {
	Name string
	// Mechanism describes the design that determines the role's costs.
	Mechanism string
	Items     []Item
}

// Sum adds up the role's items of a quantity and a kind. Without such an item it
// returns zero, with nothing missing.
func (r Role) Sum(s *Scope, q Quantity, k Kind) (Value, error) {
	var sum Value
	for _, item := range r.Items {
		if item.Quantity != q || item.Kind != k {
			continue
		}
		v, err := s.Eval(item.Formula)
		if err != nil {
			return Value{}, err
		}
		sum = sum.Add(v)
	}
	return sum, nil
}

// counts reports whether the role has an item of the quantity and kind.
func (r Role) counts(q Quantity, k Kind) bool {
	for _, item := range r.Items {
		if item.Quantity == q && item.Kind == k {
			return true
		}
	}
	return false
}

// Sum adds up the items of a quantity and a kind over all roles.
func Sum(s *Scope, roles []Role, q Quantity, k Kind) (Value, error) {
	var sum Value
	for _, role := range roles {
		v, err := role.Sum(s, q, k)
		if err != nil {
			return Value{}, err
		}
		sum = sum.Add(v)
	}
	return sum, nil
}
