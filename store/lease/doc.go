// Package lease holds a named lease of the platform's store, in a way that
// survives a holder that is paused.
//
// The store promises that a key written under a lease vanishes a TTL after the
// last keep-alive that it carried out. The holder can't know when that was, but
// it was not before the holder sent it. So a holder counts from before it sends,
// on its own monotonic clock, and stops earlier by a margin.
//
// Held is true only while no other process can hold the lease, as long as the
// clocks of the store and of the holder differ in rate by less than the margin
// over a TTL. A holder that was paused finds out at its next call of Held, before
// any timer fires. What a holder has already sent when it is paused can arrive
// late all the same; for that there is the fencing number, which grows from
// holder to holder and goes with every order.
//
// A machine that is suspended as a whole may stop the monotonic clock; then only
// the fencing number protects.
package lease
