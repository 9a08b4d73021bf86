// Package httpengine is the adapter to model engines over HTTP: the common chat
// completions interface with server-sent events, and beside it streams that can
// be resumed and cancelled by the request's key, load reports and cache events.
package httpengine
