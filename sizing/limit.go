package sizing

// Limit holds what a node may spend on control.
type Limit struct {
	Quantity Quantity
	// What the page calls it.
	Description string
	// Name is the constant that holds the limit.
	Name string
	// Factor is a formula by which the sum is multiplied before it is compared.
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
