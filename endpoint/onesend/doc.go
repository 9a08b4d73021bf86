// Package onesend sends an HTTP request at most once and tells for certain
// whether any of it was sent. It wraps http.Transport, which by itself repeats
// some requests on a new connection when a pooled one turns out to be dead, and
// whose errors don't say whether anything was written. What the other side has
// not acknowledged of a request that is given up on is never delivered.
package onesend
