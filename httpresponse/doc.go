// Package httpresponse checks HTTP/1 responses more strictly than net/http does, which
//
//   - returns any status of three digits, and takes 000 to 099 for interim responses if the caller skips what is below 200;
//   - accepts blanks in the names of fields, so that a length or a coding of the body is overlooked;
//   - ignores the coding of a body in HTTP/1.0, where it means that the framing is faulty (RFC 9112, section 6.1);
//   - takes a reset of a connection for the end of a body without a length, if a write got the error.
//
// A malformed response is no answer, and the request may have run. Each error wraps ErrMalformed or ErrIncomplete.
package httpresponse
