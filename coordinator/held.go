package coordinator

import "hawthornrill.example/hawthornrill/store/lease"

// Held is the part of a lease.Lease that orders need.
type Held interface {
	// Held reports whether this process certainly holds the lease.
	Held() bool
	// Fencing is the number that goes with every order.
	Fencing() lease.FencingToken
}

var _ Held = (*lease.Lease)(nil)
