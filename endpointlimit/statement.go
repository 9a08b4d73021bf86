package endpointlimit

// Kind tells what an answer says of its endpoint's limit.
type Kind uint8

const (
	// None: the answer names no limit, so that one named before has ended.
	None Kind = iota
	// Advertised: the answer names a limit.
	Advertised
	// Invalid: the answer names something that is no limit. What is known stays in force.
	Invalid
)

// Advertisement is what the head of an endpoint's answer says of its limit.
type Advertisement struct {
	Kind Kind
	// PerSecond is the number of requests a second that the endpoint takes from all nodes together, 0 or more; only of a
	// limit that is named.
	PerSecond float64
}
