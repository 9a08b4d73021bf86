// Package node puts the parts of one node together over the seams to time,
// peers, the platform and the endpoints, so that a whole node runs in a test as
// it does in the daemon.
package node
