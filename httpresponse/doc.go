// Package httpresponse checks HTTP/1 responses more strictly than net/http does, which
//
//   - returns any status of three digits, and takes 000 to 099 for interim responses if the caller skips what is below 200;
//   - accepts blanks in the names of fields, so that a length or a coding of the body is overlooked.
//
// A malformed response is no answer, and the request may have run. Each error wraps ErrMalformed.
package httpresponse
