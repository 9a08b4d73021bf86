// Package reach tells whether this node reaches the endpoints of a service, and which other node does if this one does not.
//
// That a node does not reach an endpoint and that the endpoint has failed are two beliefs. This package holds the first, for each
// service, from the node's own evidence: what it hears from the endpoints, and connections that it opens for a check once it
// hears nothing although it waits, or could not connect. A service is lost if none of the endpoints checked accepts a
// connection, also if one is still heard over a connection from before. While it is lost, the check is repeated.
//
// Nodes that have lost a service say so in their reports. The others then report how long ago they heard from an endpoint of the
// service, after a check if they have not lately. A node that is told so by nobody has no helper: the endpoints may be down for all.
//
// Guarantees under failure. A cut is noticed within suspectAfter, checkInterval and ConnectTimeout of the first request that meets
// it, its end within checkInterval and ConnectTimeout. Evidence of other nodes holds for evidenceValidity from the moment at
// which they heard from the endpoint. A node that restarts believes that it reaches all services.
package reach
