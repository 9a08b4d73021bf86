// Package operatorapi is the operators' interface of a node: HTTP with JSON under
// /operator/v1, and a page in the browser under /operator/. Every node serves all
// of it; there is no special one.
//
// Requests carry "Authorization: Bearer KEY" with an operator's key. Errors are
// problem documents (RFC 9457) with a member "outcome": "not_accepted" is certain,
// "unknown" means that an edit may or may not have been accepted, and that
// GET /operator/v1/edits/{id} finds out.
package operatorapi
