package routetable

// Kind says what may be repeated of the requests on a route.
type Kind uint8

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Stream requests are answered by server-sent events. They run at most once, unless the route says that they can
	// be resumed.
	Stream
)

var kindNames = [...]string{Idempotent: "idempotent", NonIdempotent: "non_idempotent", Stream: "stream"}

// String returns the kind's name.
func (k Kind) String() string { return kindNames[k] }
