// Package wslink implements the production peer.Transport: CBOR frames over
// WebSocket.
//
// A link is opened when it is first needed and carries calls in both directions.
// An idle link is closed by a handshake of both ends, so that no call in progress
// is interrupted. Calls are multiplexed; each end limits the calls outstanding on
// a link, the bytes queued for writing and the size of a frame. A link with
// outstanding calls on which nothing arrives is pinged, and is ended if the ping is
// not answered.
//
// With TLS, both ends present certificates that name their nodes. Without TLS,
// both ends must be on loopback.
//
// A Call fails with peer.ErrNotSent if its message certainly did not reach a
// handler: no link could be opened, another incarnation of the node answered
// (*IncarnationMismatchError), the link failed before the message was written, or
// the remote end refused the request. It fails with peer.ErrUnreachable if the
// message was written and no reply arrived. A handler's context carries the time
// left until the caller's deadline and is cancelled when the serving transport
// closes; it is not cancelled when the link ends.
package wslink
