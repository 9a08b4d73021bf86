package answer

import "errors"

var (
	// ErrTruncated means that the start of the answer has been discarded, so that a reader from
	// there can't get the complete answer.
	ErrTruncated = errors.New("answer: start of answer no longer held")
	// ErrNotHeld means that the node holds no answer under the key.
	ErrNotHeld = errors.New("answer: not held")
	// ErrEnded means that a chunk was appended after the end.
	ErrEnded = errors.New("answer: already ended")
	// ErrGap means that a chunk was appended or received out of order.
	ErrGap = errors.New("answer: chunk out of sequence")
	// ErrHolderUnavailable means that the answer could not be read from the node that holds it.
	ErrHolderUnavailable = errors.New("answer: cannot read from the node that holds the answer")
)
