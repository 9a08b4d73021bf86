package document

import "hawthornrill.example/hawthornrill/domain"

// Apply puts a version in force. It is called once for each version that a node
// comes to hold, in increasing order, never twice at a time. An error leaves
// the last good version in force. The value must not be changed.
type Apply func(version Version, value []byte) error

// Spec describes a document to a node.
type Spec struct {
	// Name is the same on all nodes, such as "config" or "ledger/palermo".
	Name string
	// Apply is called with each version. It may be nil.
	Apply Apply
	// KeepHistory is how many earlier values the store keeps.
	KeepHistory int
	// WatchDataCentres names the data centres whose nodes watch the store; empty for all.
	// The others are told by the editing node and by anti-entropy.
	WatchDataCentres []domain.DataCentre
	// Optional documents do not hold up readiness.
	Optional bool
}
