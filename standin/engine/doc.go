// Package engine is a stand-in for a model engine: continuous batching with a
// limit, a KV cache of bounded size with prefix blocks and LRU eviction, prefill
// paid per uncached prompt token, decoding that slows down as the batch grows.
// It admits in the order of arrival and knows no priorities. Its text is made up
// from a hash of the prompt, so that a test can tell whose answer it reads.
//
// An Engine runs on package time and can be used in process as an
// endpoint.Engine under testing/synctest; Handler serves it over HTTP. It also
// keeps the tests' witness: every request that it ran, and when.
package engine
