package document

import "time"

// Condition is how a document stands on one node.
type Condition struct {
	Name string `cbor:"1,keyasint" json:"name"`
	// Held is the latest version that the node has, InForce the one it uses.
	Held    Stamp `cbor:"2,keyasint" json:"held"`
	InForce Stamp `cbor:"3,keyasint" json:"in_force"`
	// Since is for how long InForce has been so.
	InForceFor time.Duration `cbor:"4,keyasint" json:"since_ns"`
	// Error says why Held could not be applied; empty if it was.
	Error string `cbor:"5,keyasint,omitempty" json:"error,omitempty"`
	// Watching is true if the node watches the store.
	Watching bool `cbor:"6,keyasint,omitempty" json:"watching,omitempty"`
	// StoreGeneration is the generation last seen in the store by a watcher.
	StoreGeneration uint64 `cbor:"7,keyasint,omitempty" json:"store_generation,omitempty"`
	// StoreBehind is true while the store shows an earlier version than the node
	// holds: it was restored from an old copy, or an old value was read.
	StoreBehind bool `cbor:"8,keyasint,omitempty" json:"store_behind,omitempty"`
	// StoreError is the last error of a watcher with the store.
	StoreError string `cbor:"9,keyasint,omitempty" json:"store_error,omitempty"`
	// Displaced is a version of this node that gave way to another one of the same
	// generation.
	Displaced Stamp `cbor:"10,keyasint,omitempty" json:"displaced,omitzero"`
}
