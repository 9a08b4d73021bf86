package scheduler

// step reports whether a task needs another attempt.
type step uint8

const (
	stepDone step = iota
	stepRetry
)

// Phase is the phase of a request on this node.
type Phase uint32

const (
	// PhaseWaiting means that the request has not been dispatched.
	PhaseWaiting Phase = iota
	// PhaseRunning means that the request has been dispatched, by this node or
	// another.
	PhaseRunning
	// PhaseEnded means that the request has ended; its answer may not have been
	// delivered yet.
	PhaseEnded
)

// String returns the phase's name in the state dump.
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
