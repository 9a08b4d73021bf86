package directory

import (
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// Change holds the changes of the list of endpoints between two store revisions, as sent between nodes.
type Change struct {
	_ struct{} `cbor:",toarray"`
	// After is the revision up to which the receiver must know the list: nothing changed between it and the first revision
	// covered. Last is the revision of the last change, Revision the one up to which everything is covered.
	After    uint64
	Last     uint64
	Revision uint64
	// Listed endpoints were added or changed, Removed ones are no longer listed. The latter are retained for KeepFor.
	Listed  []*Endpoint
	Removed []domain.EndpointID
	KeepFor time.Duration
	// Unusable endpoints are listed with unusable entries. They are removed at once.
	Unusable []domain.EndpointID
}
