package scheduler

// step tells whether a task needs another attempt.
type step uint8

const (
	stepDone step = iota
	stepAgain
)

// Phase is how far a request has come on this node.
type Phase uint32

const (
	// PhaseWaiting requests have not been dispatched.
	PhaseWaiting Phase = iota
	// PhaseRunning requests have been dispatched, here or elsewhere.
	PhaseRunning
	// PhaseEnded requests have ended; the answer may not have been delivered yet.
	PhaseEnded
)

// String returns the phase's name as the state dump shows it.
func (p Phase) String() string {
	switch p {
	case PhaseWaiting:
		return "waiting"
	case PhaseRunning:
		return "running"
	default:
		return "ended"
	}
}
