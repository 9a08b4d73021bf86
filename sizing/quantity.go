package sizing

// Quantity is a resource that an item uses on a node.
type Quantity uint8

const (
	// Memory is state in bytes.
	Memory Quantity = iota
	// Messages is the messages sent to other nodes and to the store per second.
	Messages
	// Bytes is bytes per second: those sent to other nodes, and those sent to and
	// received from the platform and the engines. For the latter both directions count,
	// since the limit does not apply to the other end.
	Bytes
	// CPU is the fraction of one core.
	CPU
)

// Quantities returns all quantities in the order of the page's columns.
func Quantities() []Quantity {
	return []Quantity{Memory, Messages, Bytes, CPU}
}

// String returns the quantity's name as the page prints it.
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
