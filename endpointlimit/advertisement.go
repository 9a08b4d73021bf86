package endpointlimit

// Kind is the kind of an Advertisement.
type Kind uint8

const (
	// None: the response has no limit, so one advertised before has ended.
	None Kind = iota
	// Advertised: the response has a limit.
	Advertised
	// Invalid: the response has a malformed limit. The known limit stays in force.
	Invalid
)

// Advertisement is what a response's header says about its endpoint's limit.
type Advertisement struct {
	Kind Kind
	// PerSecond is the number of requests a second that the endpoint accepts from all nodes together, 0 or more; set only if Kind
	// is Advertised.
	PerSecond float64
}
