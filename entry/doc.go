// Package entry is the HTTP interface for callers. It authenticates requests,
// builds the request key and streams the answer. Package scheduler decides
// whether and where a request runs.
//
// Every error is an RFC 9457 problem document with a member "outcome", which is
// "not_run" only if neither this attempt nor an earlier one ran the request.
package entry
