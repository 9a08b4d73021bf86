// Package limits enforces organisations' limits across all nodes: requests in flight,
// and tokens per minute.
//
// Each organisation has an owner, the first live node in rendezvous order. Nodes with
// demand report it to the owner, many organisations in one message, and receive
// shares in proportion to demand. Admission is local: it takes no lock and sends no
// message. A node whose share is used up reports at once, with at most one report in
// progress for each organisation; requests that wait for the reply wait at most
// Options.OwnerWaitTimeout.
//
// Guarantees. While all nodes agree on the owner and reach it, the shares of the
// limit on requests never sum to more than the limit. If the limit is at least eight
// times the number of nodes, one request is reserved for each node, so that a first
// request need not wait and a node that needs no more sends no reports. The tokens
// allocated never exceed the limit per minute plus a burst of one minute's limit;
// tokens used in advance or beyond the estimate are charged later. When the owner
// changes, shares allocated during the settle time are at most an equal part for each
// node. A node that can't reach the owner keeps its last share for
// Options.ShareRetention and then uses an equal part; hence each side of a partition
// may use up to the limit.
package limits
