package httpresponse_test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/httpresponse"
	"hawthornrill.example/hawthornrill/httpresponse/responsetest"
)

// TestParsedResponses checks responses that net/http has read. A coding of the body in HTTP/1.0 and the version can't be seen then.
func TestParsedResponses(t *testing.T) {
	for _, form := range responsetest.Malformed("") {
		response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(form.Text)), nil)
		if err != nil || strings.HasPrefix(form.Text, "HTTP/1.0") || form.Name == "HTTP/0.9" || form.Name == "HTTP/2.0" || response.StatusCode == 101 || response.StatusCode == 103 {
			continue
		}
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err, form.Name)
		headErr, trailerErr := httpresponse.Check(response), httpresponse.CheckTrailer(response.Trailer)
		assert.Assert(t, headErr != nil || trailerErr != nil, form.Name)
	}
	for _, form := range responsetest.WellFormed("") {
		response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(form.Text)), nil)
		assert.NilError(t, err)
		assert.NilError(t, httpresponse.Check(response), form.Name)
	}
}
