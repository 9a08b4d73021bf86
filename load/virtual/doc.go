// Package virtual runs a deployment of whole nodes in one process, over an
// in-memory network, an in-memory store and stand-in endpoints. Under
// testing/synctest it runs in virtual time: a run of minutes takes seconds.
package virtual
