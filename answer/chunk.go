// Package answer holds the answer to one request while it is produced, and for
// a while after, so that its caller can read it from the start as often as it
// must. Only the process that dispatched the request writes to it.
package answer

// Chunk is one piece of an answer: an event of a model's stream, or a piece of
// a plain response's body. Sequence counts from 0 without gaps.
type Chunk struct {
	Sequence uint64 `cbor:"1,keyasint"`
	Data     []byte `cbor:"2,keyasint"`
}

// Head is what a plain response carries before its body.
type Head struct {
	Status int                 `cbor:"1,keyasint"`
	Header map[string][]string `cbor:"2,keyasint,omitempty"`
}
