// Package operatorapi is the operator interface of a node: HTTP with JSON under
// /operator/v1, and a browser page under /operator/. Every node serves the whole
// interface; none has a special role.
//
// Requests carry "Authorization: Bearer KEY" with an operator's key. Errors are
// problem documents (RFC 9457) with an extension member "outcome":
// "not_accepted" means that the edit certainly had no effect, "unknown" that it may
// or may not have been accepted; GET /operator/v1/edits/{id} then returns the
// outcome.
package operatorapi
