package httpresponse_test

import (
	"bufio"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/httpresponse"
	"hawthornrill.example/hawthornrill/httpresponse/responsetest"
)

// seenAfterParsing are the forms that can still be recognised once net/http has read them.
var seenAfterParsing = []string{
	"status 000", "status 000 without a body", "status 000 before a response", "status 099 before a response", "status 600", "status 999",
	"blank after the name of the length", "blank after the name of the coding", "blank in a name", "blank in a name of a trailer",
}

func TestParsedResponses(t *testing.T) {
	read := func(form responsetest.Form) *http.Response {
		response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(form.Text)), nil)
		assert.NilError(t, err, form.Name)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err, form.Name)
		return response
	}
	seen := 0
	for _, form := range responsetest.Malformed("") {
		if !slices.Contains(seenAfterParsing, form.Name) {
			continue
		}
		seen++
		response := read(form)
		assert.Assert(t, httpresponse.Check(response) != nil || httpresponse.CheckTrailer(response.Trailer) != nil, form.Name)
	}
	assert.Equal(t, seen, len(seenAfterParsing))
	for _, form := range responsetest.WellFormed("") {
		response := read(form)
		assert.NilError(t, httpresponse.Check(response), form.Name)
		assert.NilError(t, httpresponse.CheckTrailer(response.Trailer), form.Name)
	}
}
