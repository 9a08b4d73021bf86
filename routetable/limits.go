package routetable

import "time"

// Limits bound the requests and connections of callers.
type Limits struct {
	_              struct{} `cbor:",toarray"`
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout bounds the time to read the header of a request, IdleTimeout the time for which a connection may be
	// idle.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
