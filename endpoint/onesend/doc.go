// Package onesend sends an HTTP request at most once and reports reliably whether any of it was
// sent. It wraps http.Transport, which by itself retries some requests on a new connection if a
// pooled one turns out to be dead, and whose errors do not tell whether anything was written. The
// unacknowledged part of an abandoned request is never delivered. Responses are checked; see package
// httpresponse.
package onesend
