package exchange

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/httpresponse/responsetest"
)

// Guards against malformed responses being taken for answers, counting as not dispatched, or leaving a connection in use.
func TestMalformedResponseIsBroken(t *testing.T) {
	for _, form := range responsetest.Malformed("X-Id: 1\r\n") {
		t.Run(form.Name, func(t *testing.T) {
			for _, serve := range []func(testing.TB, string) *responsetest.Server{responsetest.Serve, responsetest.ServeOpen} {
				s := serve(t, form.Text)
				c := New(Options{}, metrics.NewSet())
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				r := (&server{address: s.Address}).request("1")
				body, err := sendWith(ctx, c, r)
				assert.ErrorIs(t, err, endpoint.ErrBroken, "body %q", body)
				assert.Assert(t, !errors.Is(err, endpoint.ErrNotDispatched))
				assert.NilError(t, ctx.Err(), "the client waits for more")
				assert.Equal(t, c.open.Load(), int64(0))
				assert.Equal(t, s.Requests.Load(), int64(1))
			}
		})
	}
}

func TestUnusualResponseIsAnAnswer(t *testing.T) {
	for _, form := range responsetest.WellFormed("X-Id: 1\r\n") {
		t.Run(form.Name, func(t *testing.T) {
			s := responsetest.Serve(t, form.Text)
			body, err := send(t, New(Options{}, metrics.NewSet()), (&server{address: s.Address}).request("1"))
			assert.NilError(t, err)
			assert.Equal(t, body, "hello")
		})
	}
}

// Guards against malformed responses of a receiver that has not asked for the body, and of one that has.
func TestMalformedResponseEndsHandshake(t *testing.T) {
	for _, form := range responsetest.Malformed("") {
		t.Run(form.Name, func(t *testing.T) {
			for name, before := range map[string]string{"asked for": "HTTP/1.1 100 Continue\r\n\r\n", "not asked for": ""} {
				address, rest := receiver(t, before, form.Text)
				c := New(Options{}, metrics.NewSet())
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				_, err := sendWith(ctx, c, &Request{Address: address, Method: "POST", Target: "/", Host: "h", Body: []byte("body"), Handshake: time.Minute})
				assert.Assert(t, err != nil, "%s", name)
				assert.NilError(t, ctx.Err(), "the client waits for more")
				sent := <-rest != ""
				assert.Equal(t, sent, before != "", "%s", name)
				assert.Assert(t, !sent || errors.Is(err, endpoint.ErrBroken) && !errors.Is(err, endpoint.ErrNotDispatched), "%v", err)
				assert.Equal(t, c.open.Load(), int64(0))
			}
		})
	}
}
