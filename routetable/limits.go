package routetable

import "time"

// Limits bound what callers may send.
type Limits struct {
	_              struct{} `cbor:",toarray"`
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout bounds the reading of a request's head, IdleTimeout the time that a connection may be idle.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
