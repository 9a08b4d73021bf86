package httpstore_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/standin/storeserver"
	"hawthornrill.example/hawthornrill/store"
	"hawthornrill.example/hawthornrill/store/httpstore"
	"hawthornrill.example/hawthornrill/store/memstore"
)

func newClient(t *testing.T) (*httpstore.Client, *memstore.Store) {
	t.Helper()
	memory := memstore.New(memstore.Options{})
	server := httptest.NewServer(storeserver.NewHandler(memory, storeserver.Options{WatchTimeout: time.Millisecond}))
	t.Cleanup(server.Close)
	return httpstore.New(httpstore.Options{BaseURL: server.URL}), memory
}

func TestEntries(t *testing.T) {
	c, _ := newClient(t)
	ctx := t.Context()
	key, value := "a/b c&d=e", []byte{0, 1, 255}
	_, err := c.Get(ctx, key)
	assert.ErrorIs(t, err, store.ErrNotFound)
	revision, err := c.CompareAndSwap(ctx, key, 0, value, 0)
	assert.NilError(t, err)
	_, err = c.CompareAndSwap(ctx, key, 0, value, 0)
	assert.ErrorIs(t, err, store.ErrConflict)
	entry, err := c.Get(ctx, key)
	assert.NilError(t, err)
	assert.DeepEqual(t, entry, store.Entry{Key: key, Value: value, Revision: revision})
	entries, err := c.List(ctx, "a/")
	assert.NilError(t, err)
	assert.DeepEqual(t, entries, []store.Entry{entry})
	assert.ErrorIs(t, c.Delete(ctx, key, revision+1), store.ErrConflict)
	assert.NilError(t, c.Delete(ctx, key, revision))
	_, err = c.Watch(ctx, key, revision)
	assert.ErrorIs(t, err, store.ErrNotFound)
	_, err = c.CompareAndSwap(ctx, key, 0, make([]byte, store.MaxValueBytes+1), 0)
	assert.ErrorIs(t, err, store.ErrUnavailable)
}

// Guards against a watch that returns when the server ends a long poll without a
// change: the server holds each request for 1 ms, and the write comes once the
// third request has started.
func TestWatchContinuesAfterLongPollTimeout(t *testing.T) {
	c, memory := newClient(t)
	thirdCall := make(chan struct{})
	memory.SetFunc(func(call memstore.Call) memstore.Fault {
		if call.Number == 3 {
			close(thirdCall)
		}
		return memstore.Fault{}
	})
	got := make(chan store.Entry)
	go func() {
		entry, _ := c.Watch(t.Context(), "k", 0)
		got <- entry
	}()
	select {
	case <-thirdCall:
	case entry := <-got:
		t.Fatalf("ended early with %v", entry)
	}
	_, err := c.CompareAndSwap(t.Context(), "k", 0, []byte("v"), 0)
	assert.NilError(t, err)
	assert.Equal(t, string((<-got).Value), "v")
}

func TestLeases(t *testing.T) {
	c, _ := newClient(t)
	ctx := t.Context()
	lease, err := c.GrantLease(ctx, time.Hour)
	assert.NilError(t, err)
	assert.NilError(t, c.KeepAlive(ctx, lease))
	_, err = c.CompareAndSwap(ctx, "k", 0, nil, lease)
	assert.NilError(t, err)
	entry, err := c.Get(ctx, "k")
	assert.NilError(t, err)
	assert.Equal(t, entry.Lease, lease)
	assert.NilError(t, c.RevokeLease(ctx, lease))
	_, err = c.Get(ctx, "k")
	assert.ErrorIs(t, err, store.ErrNotFound)
	assert.ErrorIs(t, c.KeepAlive(ctx, lease), store.ErrLeaseNotFound)
	assert.ErrorIs(t, c.RevokeLease(ctx, lease), store.ErrLeaseNotFound)
}

// TestErrorsDistinguishNoEffectFromUnknownOutcome checks that a write returns
// ErrUnavailable only if it is guaranteed to have had no effect.
func TestErrorsDistinguishNoEffectFromUnknownOutcome(t *testing.T) {
	abort := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	status := func(code int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
	}
	invalidJSON := func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{")) }
	hang := func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}
	tests := map[string]struct {
		handler     http.HandlerFunc
		write, read error
	}{
		"connection refused":  {nil, store.ErrUnavailable, store.ErrUnavailable},
		"service unavailable": {status(http.StatusServiceUnavailable), store.ErrUnavailable, store.ErrUnavailable},
		"rate limit":          {status(http.StatusTooManyRequests), store.ErrUnavailable, store.ErrUnavailable},
		"connection aborted":  {abort, store.ErrUnknownOutcome, store.ErrUnavailable},
		"internal error":      {status(http.StatusInternalServerError), store.ErrUnknownOutcome, store.ErrUnavailable},
		"bad gateway":         {status(http.StatusBadGateway), store.ErrUnknownOutcome, store.ErrUnavailable},
		"redirected":          {status(http.StatusTemporaryRedirect), store.ErrUnknownOutcome, store.ErrUnavailable},
		"invalid JSON":        {invalidJSON, store.ErrUnknownOutcome, store.ErrUnavailable},
		"no response":         {hang, store.ErrUnknownOutcome, store.ErrUnavailable},
		"path not found":      {status(http.StatusNotFound), store.ErrUnknownOutcome, store.ErrUnavailable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(test.handler)
			defer server.Close()
			if test.handler == nil {
				server.Close()
			}
			options := httpstore.Options{BaseURL: server.URL}
			if name == "no response" {
				options.Timeout = 20 * time.Millisecond
			}
			c := httpstore.New(options)
			_, err := c.GrantLease(t.Context(), time.Second)
			assert.ErrorIs(t, err, test.write)
			_, err = c.List(t.Context(), "p")
			assert.ErrorIs(t, err, test.read)
		})
	}
}

func TestLostResponse(t *testing.T) {
	c, memory := newClient(t)
	memory.DropNextResponses(1)
	_, err := c.CompareAndSwap(t.Context(), "k", 0, []byte("v"), 0)
	assert.ErrorIs(t, err, store.ErrUnknownOutcome)
	_, err = c.Get(t.Context(), "k")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = c.CompareAndSwap(ctx, "k", 0, []byte("v"), 0)
	assert.ErrorIs(t, err, store.ErrUnavailable)
}
