package directory

import (
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// Change is what happened to the list of endpoints between two revisions of the store, as one node tells another.
type Change struct {
	_ struct{} `cbor:",toarray"`
	// After is a revision up to which the receiver must know the list: nothing changed between it and the first revision
	// covered. Last is the revision of the last change, Revision that up to which all is covered.
	After    uint64
	Last     uint64
	Revision uint64
	// Listed were listed or changed, Removed are listed no more. Removed ones are kept for KeepFor.
	Listed  []*Endpoint
	Removed []domain.EndpointID
	KeepFor time.Duration
	// Unusable are listed with entries that can't be used. They are out at once.
	Unusable []domain.EndpointID
}
