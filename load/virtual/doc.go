// Package virtual runs a deployment of complete nodes in one process, with an in-memory
// network, an in-memory store and stand-in endpoints. Under testing/synctest it runs in
// virtual time: a run of minutes takes seconds.
package virtual
