// Package httpengine is the HTTP adapter to model engines: the common chat completions interface
// with server-sent events, and in addition streams that can be resumed and cancelled by the
// request's key, load reports and cache events.
package httpengine
