package httpresponse

import (
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// CheckTrailer checks the fields after a body that has been read to its end. Its error wraps ErrMalformed.
func CheckTrailer(trailer http.Header) error {
	for name := range trailer {
		if !httpguts.ValidHeaderFieldName(name) {
			return malformed("name of a field after the body", []byte(name))
		}
	}
	return nil
}
