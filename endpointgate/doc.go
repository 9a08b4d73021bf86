// Package endpointgate decides whether this node may send a request to an endpoint, and when it may again.
//
// An endpoint that rejects a request may ask the node that sent it for a rest. An endpoint that is about to exit says so in each
// response. Both are stated to one node and bind that node.
//
// Guarantees under failure. Once the head of such a response has been read, no request is sent that is not on its way already.
// A rest holds while the host is suspended, binds a later incarnation for a few seconds, and is never shortened; the notice of
// leaving binds its incarnation for as long as that is listed. A node that restarts knows of neither.
package endpointgate
