package httpengine_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/endpoint/httpengine"
	"hawthornrill.example/hawthornrill/endpoint/onesend"
)

// serve returns a client of a server that responds with the given status and stream text.
func serve(t *testing.T, status int, text string) *httpengine.Client {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, text)
	}))
	t.Cleanup(server.Close)
	return httpengine.New(server.URL, onesend.New(onesend.Options{}))
}

func events(offsets ...int) string {
	var b strings.Builder
	for _, o := range offsets {
		fmt.Fprintf(&b, "id: %d\ndata: e%d\n\n", o, o)
	}
	return b.String()
}

func TestStreamIsInOrderWithoutGaps(t *testing.T) {
	const last = "id: 5\ndata: [DONE]\n\n"
	tests := map[string]struct {
		text string
		want string
		err  error
	}{
		"complete":        {events(2, 3, 4) + last, "2 3 4 5", io.EOF},
		"repeated":        {events(2, 3, 3, 2, 4) + last, "2 3 4 5", io.EOF},
		"from earlier":    {events(0, 1, 2, 3, 4) + last, "2 3 4 5", io.EOF},
		"out of order":    {events(2, 4, 3) + last, "2", endpoint.ErrBroken},
		"truncated":       {events(2, 3), "2 3", endpoint.ErrBroken},
		"truncated event": {events(2) + "id: 3\nda", "2", endpoint.ErrBroken},
		"too long":        {events(2) + "data: " + strings.Repeat("x", 2<<20) + "\n\n", "2", endpoint.ErrBroken},
		"last without id": {events(2, 3, 4) + "data: [DONE]\n\n", "2 3 4 5", io.EOF},
		"without ids":     {"data: a\n\ndata: [DONE]\n\n", "2 3", io.EOF},
		"malformed":       {"\x00\xff{}\n\n\n", "", endpoint.ErrBroken},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s, err := serve(t, http.StatusOK, test.text).Resume(t.Context(), "k", 2)
			assert.NilError(t, err)
			defer s.Close()
			var got []string
			var event endpoint.Event
			for event, err = s.Next(t.Context()); err == nil; event, err = s.Next(t.Context()) {
				got = append(got, fmt.Sprint(event.Offset))
			}
			assert.ErrorIs(t, err, test.err)
			assert.Equal(t, strings.Join(got, " "), test.want)
		})
	}
}

func TestStatusClassification(t *testing.T) {
	tests := map[int]error{
		302: endpoint.ErrBroken,
		400: endpoint.ErrRefused,
		404: endpoint.ErrRefused,
		408: endpoint.ErrBroken,
		429: endpoint.ErrRefused,
		500: endpoint.ErrBroken,
		502: endpoint.ErrBroken,
		503: endpoint.ErrRefused,
		504: endpoint.ErrBroken,
	}
	for status, want := range tests {
		_, err := serve(t, status, "no").Start(t.Context(), endpoint.EngineRequest{Key: "k"})
		assert.ErrorIs(t, err, want, "status %d", status)
	}
}

func TestStartContextDoesNotBoundStream(t *testing.T) {
	const rounds = 100
	offsets := make(chan int)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.(http.Flusher).Flush()
		for offset := range offsets {
			_, _ = io.WriteString(w, events(offset))
			w.(http.Flusher).Flush()
		}
	}))
	defer server.Close()
	defer close(offsets)
	client := httpengine.New(server.URL, onesend.New(onesend.Options{}))
	ctx, cancel := context.WithCancel(t.Context())
	s, err := client.Start(ctx, endpoint.EngineRequest{Key: "k"})
	assert.NilError(t, err)
	defer s.Close()
	cancel()
	_, err = s.Next(ctx)
	assert.ErrorIs(t, err, context.Canceled)
	for i := range rounds {
		offsets <- i
		event, err := s.Next(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, event.Offset, uint64(i))
	}
}
