// Package document replicates versioned values from the platform's store to every
// node: the operators' table, and the ledger tables of the data centres.
//
// In the store, a document is one head key, changed by compare-and-swap, and the
// parts of its value. Parts are content-addressed by SHA-256 and written before
// the head that refers to them. A document numbers its own generations, so that
// a store restored from an old backup is detected. Only a few nodes of each data
// centre watch the head; the others receive announcements from peers and fetch
// only the parts that they lack.
//
// Guarantees:
//   - A node never moves from a version to an earlier one, whatever the store or
//     its peers report. Versions are ordered by Stamp.
//   - Update distinguishes acceptance, definite rejection (ErrNotAccepted) and an
//     unknown outcome (ErrUnknownOutcome), and never accepts an edit twice.
//   - A version that can't be applied leaves the last good one in force and is
//     reported in the node's Condition.
//   - A starting node takes the highest version held by any reachable peer, even
//     while the store is down. With neither peers nor store it is not ready.
package document
