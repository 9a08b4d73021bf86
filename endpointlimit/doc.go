// Package endpointlimit keeps what endpoints say of how many requests a second they take from all nodes together.
//
// An endpoint names its limit in its answers, for as long as it holds. Each node learns it from the answers that it gets and
// from the other nodes' reports; what was stated later replaces what was stated earlier, whoever heard it.
package endpointlimit
