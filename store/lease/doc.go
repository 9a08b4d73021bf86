// Package lease implements a named lease on the platform's store that stays safe
// when its holder is paused.
//
// The store guarantees that a key written under a lease is removed one TTL after
// the last keep-alive that it processed. The holder can't know when that was, only
// that it was not before the keep-alive was sent. A holder therefore counts the
// TTL from the time of sending, on its own monotonic clock, and stops earlier by a
// margin.
//
// Held is true only while no other process can hold the lease, provided that the
// clocks of the store and the holder drift apart by less than the margin per TTL.
// A holder that was paused notices at its next call of Held, before any timer
// fires. Messages that a holder sent before it was paused can still arrive late.
// The fencing token guards against these: it increases from holder to holder and
// is sent with every order.
//
// Suspending a whole machine may stop its monotonic clock; in that case only the
// fencing token protects.
package lease
