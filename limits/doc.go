// Package limits holds organisations to their limits over all nodes: requests in
// flight, and tokens a minute.
//
// Each organisation has an owner, the first live node in rendezvous order. Nodes
// that have demand report it to the owner, many organisations in one message, and
// are given shares by demand. Admission on a request's path is local and takes no
// lock and no message; a node whose share is used up asks at once, with one call
// outstanding for each organisation, and the requests that wait for it wait at
// most Options.Patience.
//
// Guarantees. While all nodes agree on the owner and reach it, the shares of the
// limit on requests never sum to more than it. Of a limit of at least eight times the
// number of nodes, each node has one request of its own, so that a first request
// waits for nobody and a node that needs no more reports nothing. Tokens given out
// never exceed the limit a minute plus one minute's limit of burst; what is used in
// advance or beyond the estimate is paid back. When the owner changes, shares
// handed out in the settling time are bounded by an equal part for each node. A
// node that can't reach the owner keeps its last share for Options.Keep, then takes
// an equal part; so each side of a partition may use up to the limit.
package limits
