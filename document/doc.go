// Package document distributes revisioned values from the platform's store to
// every node: the operators' table, and the ledger tables of the data centres.
//
// A document is one head key in the store, changed by compare-and-swap, and the
// parts of its value, each written before the head under the SHA-256 of its
// content. The document numbers its own generations, so that a store restored
// from an old copy is noticed. Few nodes of a data centre watch the head; the
// others are told by peers and fetch only the parts that they lack.
//
// Guarantees:
//   - A node never goes from a version to an earlier one, whatever the store or
//     its peers say. Versions are ordered by Stamp.
//   - Update tells acceptance, certain refusal (ErrNotAccepted) and ignorance
//     (ErrUnknownOutcome) apart, and never accepts an edit twice.
//   - A version that can't be applied leaves the last good one in force and is
//     reported in the node's Condition.
//   - A node that starts takes the highest version that a reachable peer has,
//     also while the store is down; with neither it is not ready.
package document
