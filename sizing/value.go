package sizing

// Value is what a formula comes to.
type Value struct {
	Amount float64
	// Assumed is true if an assumed figure went into it.
	Assumed bool
	// MissingSlope names the slopes that it needs and that have not been measured. The
	// amount is then of no use.
	Missing []string
}

// Known reports whether everything that the value rests on was measured, given
// or assumed.
func (v Value) Complete() bool { return len(v.Missing) == 0 }

// Plus returns the sum of both. The parts that are not known are left out of the
// amount and named.
func (v Value) Add(o Value) Value {
	sum := Value{Assumed: v.Assumed || o.Assumed}
	sum.Missing = append(append(sum.Missing, v.Missing...), o.Missing...)
	sum.Amount = v.Amount + o.Amount
	return sum
}
