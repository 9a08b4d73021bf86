// Package httpstore is the HTTP client of the platform's key-value service:
//
//	GET    /v1/key?key=K                      the entry, or 404
//	GET    /v1/keys?prefix=P                  the entries
//	PUT    /v1/key?key=K&expected=R&lease=L   compare and swap; the body is the value
//	DELETE /v1/key?key=K&expected=R
//	GET    /v1/watch?key=K&after=R            long poll; 204 if the key has not changed for a while
//	POST   /v1/leases                         {"ttl_ms":N}
//	POST   /v1/leases/L                       keep alive
//	DELETE /v1/leases/L
//
// Status 409 means a revision conflict, 410 that the lease does not exist, and 429
// and 503 that the call had no effect. After any other failure a write may have
// taken effect.
package httpstore
