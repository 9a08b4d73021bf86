// Package engine implements a simulated model engine for tests and demos. It
// models continuous batching up to a batch limit, a KV cache of bounded size with
// prefix blocks and LRU eviction, a prefill cost per uncached prompt token, and
// decode steps that take longer as the batch grows. Requests are admitted in order
// of arrival; priorities are not supported. Generated text is derived from a hash
// of the prompt, so that a test can tell which request an answer belongs to.
//
// An Engine takes its time from package time and can be used in process as an
// endpoint.Engine under testing/synctest. NewHandler serves it over HTTP. The
// engine also records every request that it accepted, with its times, for tests
// to check.
package engine
