package weightserver_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/standin/engine"
	"hawthornrill.example/hawthornrill/standin/weightserver"
)

func discard([]byte) error { return nil }

func TestTransfersShareRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := weightserver.New(weightserver.Options{BytesPerSecond: 1 << 20, ModelBytes: 10 << 20, MaxTransfers: 2})
		done := make(chan error)
		start := time.Now()
		for range 2 {
			go func() { done <- s.Transfer(t.Context(), engine.Weights{Model: "m"}, discard) }()
		}
		synctest.Wait()
		assert.ErrorIs(t, s.Transfer(t.Context(), engine.Weights{Model: "m"}, discard), weightserver.ErrBusy)
		for range 2 {
			assert.NilError(t, <-done)
		}
		// The first chunk of 64 KiB is sent at once: it is the limiter's burst.
		chunkTime := time.Second / 16
		assert.Equal(t, time.Since(start).Round(time.Millisecond), (20*time.Second - chunkTime).Round(time.Millisecond))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.ErrorIs(t, s.Transfer(ctx, engine.Weights{Model: "m"}, discard), context.DeadlineExceeded)
		s.SetFaults(weightserver.Faults{Down: true})
		assert.ErrorIs(t, s.Transfer(t.Context(), engine.Weights{}, discard), weightserver.ErrUnavailable)
	})
}

func TestFetchOverHTTP(t *testing.T) {
	s := weightserver.New(weightserver.Options{})
	s.SetFaults(weightserver.Faults{Missing: []string{"m@2"}})
	server := httptest.NewServer(weightserver.NewHandler(s))
	defer server.Close()
	client := weightserver.NewClient(server.URL)
	assert.NilError(t, client.Fetch(engine.Weights{Model: "m", Version: "1"}))
	assert.NilError(t, client.Fetch(engine.Weights{Model: "m", Version: "1", Adapter: "a/b"}))
	assert.Equal(t, s.Counts().Bytes, uint64(4<<20+256<<10))
	assert.ErrorIs(t, client.Fetch(engine.Weights{Model: "m", Version: "2"}), weightserver.ErrNotFound)
}
