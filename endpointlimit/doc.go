// Package endpointlimit keeps what endpoints say of how many requests a second they take from all nodes together.
//
// An endpoint names its limit in its answers, for as long as it holds. Each node learns it from the answers that it gets and
// from the other nodes' reports; what was stated later replaces what was stated earlier, whoever heard it. Then some nodes
// share the limit, each with a bucket of its own, without a message before a request.
//
// Guarantees under failure. What the nodes that know of a limit send in any time t is at most the limit times t and burstSeconds
// of it (one request at least), whichever of them hear each other. A node that is silent keeps its share until it is forgotten.
// A new life of a node may send what it will until it hears of the limit, and begins its share with nothing.
package endpointlimit
