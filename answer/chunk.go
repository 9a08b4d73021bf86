// Package answer buffers the answer to a request while it is produced and retains it for some time
// afterwards, so that the caller can read it from the start repeatedly. Only the process that
// dispatched the request writes to it.
package answer

// Chunk is one part of an answer: an event of a model's stream, or a part of a plain response's
// body. Sequence numbers start at 0 and have no gaps.
type Chunk struct {
	Sequence uint64 `cbor:"1,keyasint"`
	Data     []byte `cbor:"2,keyasint"`
}

// Head is the status and header of a plain response.
type Head struct {
	Status int                 `cbor:"1,keyasint"`
	Header map[string][]string `cbor:"2,keyasint,omitempty"`
}
