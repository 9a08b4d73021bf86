// Package httpstore is the adapter to the platform's key-value service over HTTP:
//
//	GET    /v1/key?key=K                      the entry, or 404
//	GET    /v1/keys?prefix=P                  the entries
//	PUT    /v1/key?key=K&expected=R&lease=L   compare and swap; the body is the value
//	DELETE /v1/key?key=K&expected=R
//	GET    /v1/watch?key=K&after=R            waits; 204 if nothing has happened for a while
//	POST   /v1/leases                         {"ttl_ms":N}
//	POST   /v1/leases/L                       keep alive
//	DELETE /v1/leases/L
//
// 409 is a revision conflict, 410 a lease that is not there, 429 and 503 a call
// without effect. After any other failure a write may have taken effect.
package httpstore
