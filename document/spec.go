package document

import "hawthornrill.example/hawthornrill/domain"

// Apply puts a version in force. It is called once for each version that a node
// receives, in increasing order and never concurrently. An error leaves the last
// good version in force. Apply must not modify the value.
type Apply func(version Version, value []byte) error

// Spec configures a document on a node.
type Spec struct {
	// Name identifies the document on all nodes, such as "config" or "ledger/palermo".
	Name string
	// Apply is called with each new version. It may be nil.
	Apply Apply
	// KeepHistory is the number of earlier versions kept in the store.
	KeepHistory int
	// WatchDataCentres lists the data centres whose nodes watch the store; empty
	// means all. The others learn of versions from the editing node and by
	// anti-entropy.
	WatchDataCentres []domain.DataCentre
	// Optional documents are not required for readiness.
	Optional bool
}
