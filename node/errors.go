package node

import "errors"

// ErrDraining means that the node takes nothing new because it is leaving.
var ErrDraining = errors.New("node: draining")
