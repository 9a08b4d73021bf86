package endpoint

import (
	"context"
	"errors"
)

// ErrStaleFence means that the engine refused an order because it has seen a
// greater fencing number. Not every engine checks.
var ErrStaleFence = errors.New("endpoint: old fencing number")

// OrderKind says what an order is about.
type OrderKind string

const (
	// OrderLoad makes the engine serve Model at Version, in place of any other
	// version of it.
	OrderLoad OrderKind = "load"
	// OrderUnload makes it stop serving Model; what runs is finished.
	OrderUnload OrderKind = "unload"
	// OrderLoadAdapter makes it serve Adapter on top of Model.
	OrderLoadAdapter OrderKind = "load_adapter"
	// OrderUnloadAdapter makes it stop serving Adapter.
	OrderUnloadAdapter OrderKind = "unload_adapter"
	// OrderSetRole sets the engine's role.
	OrderSetRole OrderKind = "set_role"
)

// Role is what an engine is best at.
type Role string

const (
	// RoleMixed engines compute prompts and answers alike.
	RoleMixed Role = "mixed"
	// RolePrefill engines favour prompts over answers.
	RolePrefill Role = "prefill"
	// RoleDecode engines favour answers over prompts.
	RoleDecode Role = "decode"
)

// Order tells an engine what to serve. It states a target, so that giving it
// twice is harmless.
type Order struct {
	// Fence is the fencing number of the order's giver.
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

// EngineState is what an engine says that it serves. An engine that restarts
// forgets the orders it has obeyed, and the fencing number.
type EngineState struct {
	// Fence is the greatest fencing number obeyed.
	Fence uint64 `json:"fence"`
	Role  Role   `json:"role"`
	// Models are sorted by name.
	Models []ModelState `json:"models"`
}

// Orders is the side of a model engine that takes orders.
type Orders interface {
	// Order gives an order. It returns when the engine has accepted it, not when it
	// is carried out; State tells that. After ErrBroken it may have been accepted.
	Order(ctx context.Context, order Order) error
	// State reads back what the engine serves.
	State(ctx context.Context) (EngineState, error)
}
