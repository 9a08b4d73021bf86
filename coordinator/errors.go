package coordinator

import "errors"

var (
	// ErrSuperseded means that an engine has accepted a greater fencing number than
	// that of this holder, which must step down.
	ErrSuperseded = errors.New("coordinator: superseded by a greater fencing number")
	// ErrLeaseNotHeld means that the lease has been lost or released.
	ErrLeaseNotHeld = errors.New("coordinator: lease not held")
)
