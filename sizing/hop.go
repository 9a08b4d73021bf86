package sizing

// LatencyTarget is one of the users' two latency aims.
type LatencyTarget uint8

const (
	// FirstToken is the time from the caller's request to the first token.
	FirstToken LatencyTarget = iota
	// TokenGap is the time between two tokens.
	TokenGap
)

// String returns the aim's name as the page prints it.
func (a LatencyTarget) String() string {
	if a == TokenGap {
		return "between tokens"
	}
	return "first token"
}

// Limit names the constant that holds the aim in seconds.
func (a LatencyTarget) Limit() Formula {
	if a == TokenGap {
		return "token_gap_seconds"
	}
	return "first_token_seconds"
}

// Hop is a step on the way of a request or of a token, in seconds.
type Hop struct {
	Target      LatencyTarget
	Description string
	Formula     Formula
	// Far is true if the hop is taken only when the home of the key or the pool is
	// in another region.
	CrossRegion bool
}
