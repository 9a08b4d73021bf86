package sizing

// Quantity is what an item costs a node.
type Quantity uint8

const (
	// Memory is state, bytes.
	Memory Quantity = iota
	// Messages sent to other nodes and to the store, a second.
	Messages
	// Bytes a second: sent to other nodes; sent to and received from the platform
	// and the engines, which have no share in the limit.
	Bytes
	// CPU is the fraction of one core.
	CPU
)

// Quantities returns all of them in the order of the page's columns.
func Quantities() []Quantity {
	return []Quantity{Memory, Messages, Bytes, CPU}
}

// String returns the quantity's name.
func (q Quantity) String() string {
	switch q {
	case Memory:
		return "state"
	case Messages:
		return "messages"
	case Bytes:
		return "bytes"
	default:
		return "processor"
	}
}

// Unit returns the unit in which the page prints the quantity.
func (q Quantity) Unit() Unit {
	switch q {
	case Memory:
		return ByteCount
	case Messages:
		return PerSecond
	case Bytes:
		return BytesPerSecond
	default:
		return Fraction
	}
}
