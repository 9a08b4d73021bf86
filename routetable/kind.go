package routetable

// Kind determines whether requests on a route may be repeated.
type Kind uint8

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Stream requests are answered by server-sent events. They run at most once, unless the route is resumable.
	Stream
)

var kindNames = [...]string{Idempotent: "idempotent", NonIdempotent: "non_idempotent", Stream: "stream"}

func (k Kind) String() string { return kindNames[k] }
