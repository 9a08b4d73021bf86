// Package quarantine recognises the contents that crash the endpoints that run
// them, by a fingerprint that stays the same under another key, in another
// session and at another node. It holds soft state only: evidence of crashes,
// which expires, is bounded, and is spread to the other nodes without any promise
// that it arrives.
//
// A content that ran where an endpoint crashed is a suspect. It is quarantined
// when its score reaches the threshold: when it was there at crashes of two
// endpoints, at three of one, or alone at one. The quarantine is short at first
// and doubles with each further crash, since a healthy neighbour may meet the
// real cause twice; a content that completes anywhere is cleared everywhere.
package quarantine
