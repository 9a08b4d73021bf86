package sizing

// Limit is the users' limit on what a node may use of a quantity for control.
type Limit struct {
	Quantity Quantity
	// Description is the text in the page.
	Description string
	// Name is the name of the constant that holds the limit.
	Name string
	// Factor is a formula for the factor by which the sum is multiplied before the
	// comparison.
	Factor Formula
}

// Limits returns the users' limits.
func Limits() []Limit {
	return []Limit{
		{CPU, "processor", "limit_core", "1"},
		{Memory, "memory: state and the collector's headroom", "limit_memory", "gc_headroom"},
		{Bytes, "bytes a second", "limit_bytes", "1"},
	}
}
