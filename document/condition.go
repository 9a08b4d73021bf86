package document

import "time"

// Condition is the state of a document on one node.
type Condition struct {
	Name string `cbor:"1,keyasint" json:"name"`
	// Held is the latest version that the node has; InForce is the one applied.
	Held    Stamp `cbor:"2,keyasint" json:"held"`
	InForce Stamp `cbor:"3,keyasint" json:"in_force"`
	// InForceFor is the time since InForce was applied.
	InForceFor time.Duration `cbor:"4,keyasint" json:"since_ns"`
	// Error is the reason why Held could not be applied; empty if it was.
	Error string `cbor:"5,keyasint,omitempty" json:"error,omitempty"`
	// Watching is true if the node watches the document in the store.
	Watching bool `cbor:"6,keyasint,omitempty" json:"watching,omitempty"`
	// StoreGeneration is the generation that this node's watcher last read from the
	// store.
	StoreGeneration uint64 `cbor:"7,keyasint,omitempty" json:"store_generation,omitempty"`
	// StoreBehind is true while the store returns an earlier version than the node
	// holds: it was restored from an old backup, or the read was stale.
	StoreBehind bool `cbor:"8,keyasint,omitempty" json:"store_behind,omitempty"`
	// StoreError is the error of the watcher's last access to the store; empty after a
	// success.
	StoreError string `cbor:"9,keyasint,omitempty" json:"store_error,omitempty"`
	// Displaced is the last version on this node that was replaced by another one
	// with the same generation.
	Displaced Stamp `cbor:"10,keyasint,omitempty" json:"displaced,omitzero"`
}
