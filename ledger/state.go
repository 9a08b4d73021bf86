package ledger

import "fmt"

// stateWithdrawn is not seen outside the package: the holder of the claim has
// said that it did not dispatch and never will. It outranks every other state of
// the same claim.
const stateWithdrawn State = StateFailed + 1

var stateNames = [...]string{
	StateClaimed:   "claimed",
	StateCommitted: "committed",
	StateFinished:  "finished",
	StateFailed:    "failed",
	stateWithdrawn: "withdrawn",
}

// String returns the state's name.
func (s State) String() string {
	if s == 0 || int(s) >= len(stateNames) {
		return fmt.Sprintf("state %d", uint8(s))
	}
	return stateNames[s]
}

// ended reports whether nothing more is expected, so that the record's retention
// has begun.
func (s State) ended() bool { return s >= StateFinished }
