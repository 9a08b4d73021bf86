package entrynode

import (
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/httpresponse"
	"hawthornrill.example/hawthornrill/httpresponse/responsetest"
)

// Guards against a malformed response of another node being taken for its reply on what began a stream.
func TestMalformedReplyOnOriginsIsAnError(t *testing.T) {
	for _, form := range responsetest.Malformed("") {
		t.Run(form.Name, func(t *testing.T) {
			reply, err := newOriginClient().query(context.Background(), responsetest.Serve(t, form.Text).Address, []byte("query"))
			assert.Assert(t, err != nil, "%q", reply)
			assert.Assert(t, form.ByNetHTTP || errors.Is(err, httpresponse.ErrMalformed), "%v", err)
		})
	}
}
