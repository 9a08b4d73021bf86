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
	// Unreached means that a node that may know the origin did not answer.
	Unreached
	// States is the number of states.
	States
)

var stateNames = [...]string{Unknown: "unknown", Known: "known", Ambiguous: "ambiguous", Unreached: "unreached"}

// String returns the state's name.
func (s State) String() string { return stateNames[s] }

// Finding is the result of a search for a stream's origin.
type Finding struct {
	State  State
	Origin Origin
	// Asked is the number of nodes that were asked, Answered how many of them answered before the search ended.
	Asked, Answered int
	Took            time.Duration
}
