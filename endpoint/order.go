package endpoint

import (
	"context"
	"errors"
)

// ErrStaleFence means that the engine rejected an order because it has seen a higher fencing
// number. Not every engine checks.
var ErrStaleFence = errors.New("endpoint: old fencing number")

// OrderKind is the kind of an order.
type OrderKind string

const (
	// OrderLoad makes the engine serve Model at Version, replacing any other version of it.
	OrderLoad OrderKind = "load"
	// OrderUnload makes the engine stop serving Model; running requests are finished.
	OrderUnload OrderKind = "unload"
	// OrderLoadAdapter makes the engine serve Adapter on top of Model.
	OrderLoadAdapter OrderKind = "load_adapter"
	// OrderUnloadAdapter makes the engine stop serving Adapter.
	OrderUnloadAdapter OrderKind = "unload_adapter"
	// OrderSetRole sets the engine's role.
	OrderSetRole OrderKind = "set_role"
)

// Role is the work that an engine is best suited to.
type Role string

const (
	// RoleMixed engines treat prompt and answer computation equally.
	RoleMixed Role = "mixed"
	// RolePrefill engines favour prompts over answers.
	RolePrefill Role = "prefill"
	// RoleDecode engines favour answers over prompts.
	RoleDecode Role = "decode"
)

// Order tells an engine what to serve. It states the desired state and is therefore idempotent.
type Order struct {
	// Fence is the fencing number of the order's sender.
	Fence   uint64    `json:"fence"`
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model,omitempty"`
	Version string    `json:"version,omitempty"`
	Adapter string    `json:"adapter,omitempty"`
	Role    Role      `json:"role,omitempty"`
}

// ModelState is a model that an engine serves or is loading.
type ModelState struct {
	Model    string         `json:"model"`
	Version  string         `json:"version,omitempty"`
	Ready    bool           `json:"ready"`
	Adapters []AdapterState `json:"adapters,omitempty"`
}

// AdapterState is an adapter that an engine serves or is loading.
type AdapterState struct {
	Adapter string `json:"adapter"`
	Ready   bool   `json:"ready"`
}

// EngineState is what an engine reports that it serves. An engine that restarts loses its orders
// and its fencing number.
type EngineState struct {
	// Fence is the highest fencing number accepted.
	Fence uint64 `json:"fence"`
	Role  Role   `json:"role"`
	// Models are sorted by name.
	Models []ModelState `json:"models"`
}

// Orders is implemented by model engines that accept orders.
type Orders interface {
	// Order sends an order. It returns when the engine has accepted the order, not when it has been
	// carried out, which State shows. After ErrBroken the order may have been accepted.
	Order(ctx context.Context, order Order) error
	// State returns what the engine currently serves.
	State(ctx context.Context) (EngineState, error)
}
