package httpresponse

import (
	"errors"
	"fmt"
)

var (
	// ErrMalformed means that what was received is not a valid response. The connection can't be used again.
	ErrMalformed = errors.New("httpresponse: malformed response")
	// ErrIncomplete means that a body without a length ended in a way that leaves open whether it is complete.
	ErrIncomplete = errors.New("httpresponse: end of the response is not known")
)

var (
	errHeadTooLong  = fmt.Errorf("%w: head exceeds %d bytes", ErrMalformed, MaxHeadBytes)
	errTooManyLines = fmt.Errorf("%w: head exceeds %d lines", ErrMalformed, MaxHeadLines)
)

var (
	errReset         = fmt.Errorf("%w: the connection was reset", ErrIncomplete)
	errRequestUnsent = fmt.Errorf("%w: it ended before the whole request was sent", ErrIncomplete)
)

// maxQuotedBytes limits how much of a malformed line an error quotes.
const maxQuotedBytes = 60

func malformed(what string, line []byte) error {
	return fmt.Errorf("%w: %s: %q", ErrMalformed, what, line[:min(len(line), maxQuotedBytes)])
}
