package load

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/httpresponse/responsetest"
)

// Guards against a measurement that counts malformed responses as answers.
func TestMalformedResponseIsAnError(t *testing.T) {
	for _, form := range responsetest.Malformed("") {
		t.Run(form.Name, func(t *testing.T) {
			target, err := NewHTTPTarget([]string{"http://" + responsetest.Serve(t, form.Text).Address}, 1)
			assert.NilError(t, err)
			request, err := http.NewRequest(http.MethodPost, "/", http.NoBody)
			assert.NilError(t, err)
			recorder := httptest.NewRecorder()
			err = target.Send("dc", 0, request, recorder)
			assert.Assert(t, err != nil, "%d %q", recorder.Code, recorder.Body)
		})
	}
}
