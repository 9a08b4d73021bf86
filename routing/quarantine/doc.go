// Package quarantine identifies request contents that crash the endpoints that run them. Contents are
// identified by a fingerprint that is independent of the key, the session and the node. It keeps soft
// state only: evidence of crashes expires, is bounded, and is replicated to the other nodes on a
// best-effort basis.
//
// A content that was running on an endpoint when it crashed is a suspect. It is quarantined when its
// score reaches the threshold: after crashes of two endpoints, three crashes of one, or one crash with
// no other content running. The quarantine is short at first and doubles with each further crash,
// since an innocent content may run beside the cause twice. A content that completes on any endpoint
// is cleared on all nodes.
package quarantine
