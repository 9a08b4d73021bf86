// Package wslink is the production peer.Transport: CBOR frames over WebSocket.
//
// A link is opened when it is first needed, carries calls in both directions and
// is closed by agreement of both ends when it has been idle, so that nothing in
// progress is cut. Calls are multiplexed; each end bounds the calls outstanding
// on a link, the bytes that wait to be written and the size of a frame. A link on
// which calls wait and nothing arrives is pinged, and given up if no answer comes.
//
// With TLS both ends show certificates that name their nodes. Without TLS both
// ends must be on loopback.
//
// A Call fails with peer.ErrNotSent if its message certainly did not reach a
// handler: no link could be had, another life of the node answered
// (*IncarnationMismatchError), the link failed before the message was written, or the other
// end refused it. It fails with peer.ErrUnreachable if the message was written and
// no reply came. A handler's context carries what was left of the caller's
// deadline and ends when the serving transport closes; it does not end with the
// link.
package wslink
