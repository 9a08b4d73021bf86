package node

import "errors"

var (
	// ErrDraining means that the node takes nothing new because it is leaving.
	ErrDraining = errors.New("node: draining")
	// ErrJoining means that the node has no place in the ledger table yet.
	ErrJoining = errors.New("node: joining")
)
