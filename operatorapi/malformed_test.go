package operatorapi

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/httpresponse/responsetest"
)

// Guards against a malformed response being taken for the outcome of an edit, or being a reason to send the edit to another node.
func TestOutcomeOfEditWithMalformedResponseIsUnknown(t *testing.T) {
	for _, form := range responsetest.Malformed("") {
		t.Run(form.Name, func(t *testing.T) {
			first := responsetest.Serve(t, strings.ReplaceAll(form.Text, "hello", "{   }"))
			second := responsetest.Serve(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
			c := NewClient([]string{"http://" + first.Address, "http://" + second.Address}, "key")
			_, err := c.Edit(t.Context(), EditRequest{})
			assert.ErrorIs(t, err, ErrNoResponse)
			assert.Assert(t, !IsNotAccepted(err))
			assert.Equal(t, second.Requests.Load(), int64(0))
		})
	}
}
