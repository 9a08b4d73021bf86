package sizing

// Limit holds what a node may spend on control.
type Limit struct {
	Quantity Quantity
	// Name is the constant that holds the limit.
	Name string
}

// Limits returns the users' limits.
func Limits() []Limit {
	return []Limit{
		{Processor, "limit_core"},
		{Memory, "limit_memory"},
		{Bytes, "limit_bytes"},
	}
}
