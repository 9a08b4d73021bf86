package sizing

// Kind tells what makes an item's cost grow.
type Kind uint8

const (
	// Control goes on without a single request: membership, ownership,
	// configuration, coordination.
	Control Kind = iota
	// Request is coordination between nodes for each request: asks, grants, claims,
	// commits, and the decisions and records that belong to them.
	Request
	// Data is the callers' requests and answers themselves, on their way through.
	Data
)

// String returns the kind's name as the page prints it.
func (k Kind) String() string {
	switch k {
	case Request:
		return "request"
	case Data:
		return "data"
	default:
		return "control"
	}
}

// Item is one cost of a role on an average node.
type Item struct {
	Description string
	Kind        Kind
	Quantity    Quantity
	Formula     Formula
}
