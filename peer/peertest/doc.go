// Package peertest provides an in-memory peer.Transport for tests under
// testing/synctest. Payloads are passed as bytes, so messages are encoded and
// decoded as in production.
//
// Links can be cut, delayed and intercepted; nodes can be paused, crashed and
// replaced by later incarnations. A message sent over a cut link is lost and is
// not delivered after the link heals. A Call that can no longer get a reply fails
// with peer.ErrUnreachable after the network's timeout or at the end of its
// context, whichever comes first. A message to an incarnation that does not exist
// fails with peer.ErrNotSent if another incarnation of the node exists.
//
// Each handler runs in its own goroutine. Its context carries the time that was
// left until the caller's deadline when the message was sent, and is cancelled
// when its node crashes or the network closes. Close waits until all goroutines
// have ended.
package peertest
