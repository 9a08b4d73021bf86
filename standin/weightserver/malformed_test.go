package weightserver

import (
	"testing"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/httpresponse/responsetest"
	"hawthornrill.example/hawthornrill/standin/engine"
)

// Guards against an engine that takes a malformed response for its weights.
func TestMalformedResponseIsNoWeights(t *testing.T) {
	for _, form := range responsetest.Malformed("") {
		t.Run(form.Name, func(t *testing.T) {
			c := NewClient("http://" + responsetest.Serve(t, form.Text).Address)
			assert.Assert(t, c.fetch(engine.Weights{Model: "m"}) != nil)
		})
	}
}
