package pacing

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestSleep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		began := time.Now()
		assert.Assert(t, Sleep(ctx, 3*time.Second))
		assert.Equal(t, time.Since(began), 3*time.Second)
		assert.Assert(t, Sleep(ctx, 0))
		assert.Assert(t, !Sleep(ctx, time.Hour))
		assert.Equal(t, time.Since(began), 5*time.Second)
		assert.Assert(t, !Sleep(ctx, 0), "the context has ended")
	})
}

func TestEvery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3500*time.Millisecond)
		defer cancel()
		times := 0
		assert.ErrorIs(t, Every(ctx, time.Second, func() { times++ }), context.DeadlineExceeded)
		assert.Equal(t, times, 3)
	})
}
