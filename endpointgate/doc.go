// Package endpointgate decides whether this node may send a request to an endpoint, and when it may again.
//
// An endpoint that rejects a request may ask the node that sent it for a rest. An endpoint that is about to exit says so in each
// response. Both are stated to one node and bind that node.
package endpointgate
