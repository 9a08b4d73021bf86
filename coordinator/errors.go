package coordinator

import "errors"

var (
	// ErrOvertaken means that an engine has obeyed a greater fencing number than
	// that of this holder, which must step down.
	ErrOvertaken = errors.New("coordinator: overtaken by a greater fencing number")
	// ErrNotHeld means that the lease is not held any more.
	ErrNotHeld = errors.New("coordinator: lease not held")
)
