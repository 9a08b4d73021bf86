package coordinator

import "hawthornrill.example/hawthornrill/store/lease"

// FencedLease is the subset of lease.Lease that orders need.
type FencedLease interface {
	// Held reports whether this process certainly holds the lease.
	Held() bool
	// Fencing returns the fencing number that every order carries.
	Fencing() lease.FencingToken
}

var _ FencedLease = (*lease.Lease)(nil)
