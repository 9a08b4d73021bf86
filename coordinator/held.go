package coordinator

import "hawthornrill.example/hawthornrill/store/lease"

// FencedLease is the part of a lease.Lease that orders need.
type FencedLease interface {
	// FencedLease reports whether this process certainly holds the lease.
	Held() bool
	// Fencing is the number that goes with every order.
	Fencing() lease.Fencing
}

var _ FencedLease = (*lease.Lease)(nil)
