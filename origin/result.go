package origin

import "time"

// State is what is known of a stream's origin.
type State int

const (
	// Unknown means that no node knows the origin.
	Unknown State = iota
	// Known means that there is one origin.
	Known
	// Ambiguous means that there may be several.
	Ambiguous
	// Unreachable means that a node that may know the origin did not reply.
	Unreachable
	// States is the number of states.
	States
)

var stateNames = [...]string{Unknown: "unknown", Known: "known", Ambiguous: "ambiguous", Unreachable: "unreachable"}

// String returns the state's name.
func (s State) String() string { return stateNames[s] }

// Result is the result of a search for a stream's origin.
type Result struct {
	State  State
	Origin Origin
	// Queried is the number of nodes that were queried, Replied how many of them replied before the search ended.
	Queried, Replied int
	Took             time.Duration
}
