package answer

import "errors"

var (
	// ErrTruncated means that the front of the answer is no longer held: a reader
	// from there can't get the answer as a whole.
	ErrTruncated = errors.New("answer: front no longer held")
	// ErrNotHeld means that the node holds no answer under the key.
	ErrNotHeld = errors.New("answer: not held")
	// ErrEnded means that something was appended after the end.
	ErrEnded = errors.New("answer: already ended")
	// ErrGap means that a chunk was appended out of order.
	ErrGap = errors.New("answer: gap in sequence")
	// ErrHolderUnavailable means that the node that holds the answer could not be read.
	ErrHolderUnavailable = errors.New("answer: holder can't be read")
)
