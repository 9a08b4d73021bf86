package sizing

// LatencyTarget is one of the users' two latency targets.
type LatencyTarget uint8

const (
	// FirstToken is the time from the caller's request to the first token.
	FirstToken LatencyTarget = iota
	// TokenGap is the time between consecutive tokens.
	TokenGap
)

// String returns the target's name as the page prints it.
func (t LatencyTarget) String() string {
	if t == TokenGap {
		return "between tokens"
	}
	return "first token"
}

// Limit returns the name of the constant that holds the target in seconds.
func (t LatencyTarget) Limit() Formula {
	if t == TokenGap {
		return "token_gap_seconds"
	}
	return "first_token_seconds"
}

// Hop is one step in the path of a request or a token, with its latency in seconds.
type Hop struct {
	Target      LatencyTarget
	Description string
	Formula     Formula
	// CrossRegion is true if the hop is taken only when the key's home or the pool is
	// in another region. The sum without hops between regions leaves it out.
	CrossRegion bool
}
