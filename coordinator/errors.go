package coordinator

import "errors"

var (
	// ErrSuperseded means that an engine has obeyed a greater fencing number than
	// that of this holder, which must step down.
	ErrSuperseded = errors.New("coordinator: overtaken by a greater fencing number")
	// ErrLeaseNotHeld means that the lease is not held any more.
	ErrLeaseNotHeld = errors.New("coordinator: lease not held")
)
