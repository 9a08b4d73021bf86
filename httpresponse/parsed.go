package httpresponse

import (
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// Check checks what can be seen of the head of a response that net/http has read: status and names of fields. A reader that has the
// bytes uses Head. Its error wraps ErrMalformed.
func Check(response *http.Response) error {
	if !validStatus(response.StatusCode) {
		return malformed("status out of range", []byte(response.Status))
	}
	return checkNames(response.Header)
}

// CheckTrailer checks the fields after a body that has been read to its end. Its error wraps ErrMalformed.
func CheckTrailer(trailer http.Header) error { return checkNames(trailer) }

func checkNames(header http.Header) error {
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return malformed("name of a field", []byte(name))
		}
	}
	return nil
}
