package ledger

import "fmt"

// stateWithdrawn is internal to the package: the holder of the claim has stated that it
// did not dispatch and never will. It ranks above every other state of the same claim.
const stateWithdrawn State = StateFailed + 1

var stateNames = [...]string{
	StateClaimed:   "claimed",
	StateCommitted: "committed",
	StateFinished:  "finished",
	StateFailed:    "failed",
	stateWithdrawn: "withdrawn",
}

func (s State) String() string {
	if s == 0 || int(s) >= len(stateNames) {
		return fmt.Sprintf("state %d", uint8(s))
	}
	return stateNames[s]
}

// ended reports whether the state is final, so that the record's retention period has
// started.
func (s State) ended() bool { return s >= StateFinished }
