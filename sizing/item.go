package sizing

// Kind classifies a cost by what causes it.
type Kind uint8

const (
	// Control is work that is done even without requests: membership, ownership,
	// configuration, coordination.
	Control Kind = iota
	// Request is coordination between nodes for each request: capacity requests,
	// grants, claims and commits, with their decisions and records.
	Request
	// Data is the transfer of callers' requests and answers through the node.
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
