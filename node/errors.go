package node

import "errors"

var (
	// ErrDraining means that the node is shutting down and accepts no new requests.
	ErrDraining = errors.New("node: draining")
	// ErrJoining means that the node is not a member of the ledger table yet.
	ErrJoining = errors.New("node: joining")
)
