// Package peertest is an in-memory peer.Transport for tests under
// testing/synctest. Payloads are bytes, so the CBOR round trip is the real one.
//
// Links can be cut, delayed and intercepted; nodes can be paused, crashed and
// replaced by later lives. A message that meets a cut is lost; it is not
// delivered when the cut heals. A Call that can get no reply any more fails with
// peer.ErrUnreachable after the network's timeout or the context's end, whichever
// comes first. A message for a life that is not there while another life of the
// node is, fails with peer.ErrNotSent.
//
// Each handler runs in its own goroutine. Its context carries what was left of
// the caller's deadline when the message was sent, and ends when its node
// crashes or the network closes. Close waits until all goroutines have ended.
package peertest
