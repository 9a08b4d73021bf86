package onesend_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/endpoint/onesend"
	"hawthornrill.example/hawthornrill/httpresponse"
	"hawthornrill.example/hawthornrill/httpresponse/responsetest"
)

// receive sends a request and reads its response to the end.
func receive(ctx context.Context, t *testing.T, transport *onesend.Transport, address string, body io.Reader) (string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address, body)
	assert.NilError(t, err)
	response, err := transport.Send(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return string(data), err
}

// Guards against malformed responses being taken for answers, counting as not dispatched, or leaving a connection in use.
func TestMalformedResponseIsBroken(t *testing.T) {
	for _, form := range responsetest.Malformed("") {
		t.Run(form.Name, func(t *testing.T) {
			for _, serve := range []func(testing.TB, string) *responsetest.Server{responsetest.Serve, responsetest.ServeOpen} {
				s := serve(t, form.Text)
				transport := onesend.New(onesend.Options{})
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				for range 5 {
					body, err := receive(ctx, t, transport, s.Address, strings.NewReader("body"))
					assert.Assert(t, errors.Is(err, endpoint.ErrBroken) || errors.Is(err, httpresponse.ErrMalformed), "%v, body %q", err, body)
					assert.Assert(t, !errors.Is(err, endpoint.ErrNotDispatched))
				}
				assert.NilError(t, ctx.Err(), "the client waits for more")
				assert.Equal(t, s.Requests.Load(), int64(5))
				assert.Equal(t, s.Connections.Load(), int64(5), "a connection was used again")
			}
		})
	}
}

func TestUnusualResponseIsAnAnswer(t *testing.T) {
	for _, form := range responsetest.WellFormed("") {
		t.Run(form.Name, func(t *testing.T) {
			s := responsetest.Serve(t, form.Text)
			for range 5 {
				body, err := receive(t.Context(), t, onesend.New(onesend.Options{}), s.Address, strings.NewReader("body"))
				assert.NilError(t, err)
				assert.Equal(t, body, "hello")
			}
		})
	}
}
