// Package entry is the HTTP side towards callers: it finds out who asks for
// what, builds the request key, and streams the answer. It decides nothing about
// where and whether a request runs; package scheduler does.
//
// Every error is an RFC 9457 problem document with a member "outcome", which is
// "not_run" only if the request was not run by this or an earlier attempt.
package entry
