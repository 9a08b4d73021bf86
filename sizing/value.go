package sizing

// Value is the result of evaluating a formula.
type Value struct {
	Amount float64
	// Assumed is true if the formula depends on an assumed constant.
	Assumed bool
	// Missing lists the slopes and derived values that the formula uses but that have
	// not been measured. Eval leaves Amount zero if there are any.
	Missing []string
}

// Complete reports whether no slope that the value depends on is missing.
func (v Value) Complete() bool { return len(v.Missing) == 0 }

// Add returns the sum of both values. Parts that have not been measured are left out of
// the amount and listed in Missing.
func (v Value) Add(o Value) Value {
	sum := Value{Assumed: v.Assumed || o.Assumed}
	sum.Missing = append(append(sum.Missing, v.Missing...), o.Missing...)
	sum.Amount = v.Amount + o.Amount
	return sum
}
