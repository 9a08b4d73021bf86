// Package node assembles the services of one node. Peers, the store, membership
// and endpoints are passed in as interfaces, and time can be virtual, so that a
// complete node runs in a test as it does in the daemon.
package node
