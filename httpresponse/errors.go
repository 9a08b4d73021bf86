package httpresponse

import (
	"errors"
	"fmt"
)

// ErrMalformed means that what was received is not a valid response. The connection can't be used again.
var ErrMalformed = errors.New("httpresponse: malformed response")

// maxQuotedBytes limits how much of a malformed line an error quotes.
const maxQuotedBytes = 60

func malformed(what string, line []byte) error {
	return fmt.Errorf("%w: %s: %q", ErrMalformed, what, line[:min(len(line), maxQuotedBytes)])
}
