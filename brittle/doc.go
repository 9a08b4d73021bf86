// Package brittle tells which services' endpoints fall over if they reject too many requests, and how many requests this node may
// have at each of them.
//
// While a service is brittle, each node has an equal share of each endpoint's slots, so that all nodes together never exceed them,
// whatever their knowledge of each other's requests. An endpoint then has nothing to reject; what has no place waits at the
// nodes, in the order of their queues. The statement is the service's: an endpoint that has not been heard is as brittle as the
// others.
//
// A node whose callers need less than half of its share lends up to three quarters of it to a node whose callers need more. It uses
// them again only when the borrower can no longer rely on the loan.
//
// Guarantees under failure. Shares follow from the nodes that may be alive, silent ones included. A node that has not heard of the
// statement is not bound by it; it hears with its first answer or with the next report of another node. The latest statement
// holds, by when its request was sent; it is forgotten if it is not repeated for expireAfter.
package brittle
