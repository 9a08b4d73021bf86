package httphostlist

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/hostlist"
	"hawthornrill.example/hawthornrill/httpresponse/responsetest"
)

// Guards against a malformed response being taken for a list without hosts.
func TestMalformedResponseIsNoList(t *testing.T) {
	for _, form := range responsetest.Malformed("") {
		t.Run(form.Name, func(t *testing.T) {
			s := responsetest.Serve(t, strings.ReplaceAll(form.Text, "hello", "[   ]"))
			_, err := New(Options{BaseURL: "http://" + s.Address}).List(t.Context())
			assert.ErrorIs(t, err, hostlist.ErrUnavailable)
		})
	}
}
