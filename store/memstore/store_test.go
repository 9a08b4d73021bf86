package memstore_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/store"
	"hawthornrill.example/hawthornrill/store/memstore"
)

func TestCompareAndSwap(t *testing.T) {
	c := memstore.New(memstore.Options{}).NewClient()
	ctx := t.Context()
	first, err := c.CompareAndSwap(ctx, "k", 0, []byte("one"), 0)
	assert.NilError(t, err)
	_, err = c.CompareAndSwap(ctx, "k", 0, []byte("two"), 0)
	assert.ErrorIs(t, err, store.ErrConflict)
	second, err := c.CompareAndSwap(ctx, "k", first, []byte("two"), 0)
	assert.NilError(t, err)
	assert.Assert(t, second > first)
	entry, err := c.Get(ctx, "k")
	assert.NilError(t, err)
	assert.DeepEqual(t, entry, store.Entry{Key: "k", Value: []byte("two"), Revision: second})
	assert.ErrorIs(t, c.Delete(ctx, "k", first), store.ErrConflict)
	assert.NilError(t, c.Delete(ctx, "k", second))
	_, err = c.Get(ctx, "k")
	assert.ErrorIs(t, err, store.ErrNotFound)
	_, err = c.CompareAndSwap(ctx, "k", 0, make([]byte, store.MaxValueBytes+1), 0)
	assert.ErrorIs(t, err, store.ErrUnavailable)
}

func TestLeaseExpiryRemovesItsEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := memstore.New(memstore.Options{}).NewClient()
		ctx := t.Context()
		lease, err := c.GrantLease(ctx, 10*time.Second)
		assert.NilError(t, err)
		held, err := c.CompareAndSwap(ctx, "leader", 0, []byte("a"), lease)
		assert.NilError(t, err)
		time.Sleep(8 * time.Second)
		assert.NilError(t, c.KeepAlive(ctx, lease))
		time.Sleep(9 * time.Second)
		_, err = c.Get(ctx, "leader")
		assert.NilError(t, err)

		start := time.Now()
		_, err = c.Watch(ctx, "leader", held)
		assert.ErrorIs(t, err, store.ErrNotFound)
		assert.Equal(t, time.Since(start), time.Second)
		assert.ErrorIs(t, c.KeepAlive(ctx, lease), store.ErrLeaseNotFound)
		_, err = c.CompareAndSwap(ctx, "leader", 0, []byte("a"), lease)
		assert.ErrorIs(t, err, store.ErrLeaseNotFound)
	})
}

func TestFaults(t *testing.T) {
	tests := map[string]struct {
		set    func(f *memstore.Faults)
		want   error
		effect bool
	}{
		"none":          {func(*memstore.Faults) {}, nil, true},
		"down":          {func(f *memstore.Faults) { f.SetDown(true) }, store.ErrUnavailable, false},
		"lost response": {func(f *memstore.Faults) { f.DropNextResponses(1) }, store.ErrUnknownOutcome, true},
		"slow":          {func(f *memstore.Faults) { f.SetDelay(time.Second) }, nil, true},
		"slower than the caller's deadline": {
			func(f *memstore.Faults) { f.SetDelay(time.Minute) }, store.ErrUnknownOutcome, true,
		},
		"by function": {func(f *memstore.Faults) {
			f.SetFunc(func(call memstore.Call) memstore.Fault {
				return memstore.Fault{Down: call.Key == "k" && call.Operation == memstore.OperationCompareAndSwap}
			})
		}, store.ErrUnavailable, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := memstore.New(memstore.Options{})
				faulty, healthy := s.NewClient(), s.NewClient()
				test.set(faulty.Faults)
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				_, err := faulty.CompareAndSwap(ctx, "k", 0, []byte("v"), 0)
				assert.ErrorIs(t, err, test.want)
				time.Sleep(2 * time.Minute)
				_, err = healthy.Get(t.Context(), "k")
				assert.Equal(t, err == nil, test.effect)
			})
		})
	}
}

func TestStaleRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New(memstore.Options{})
		c, stale := s.NewClient(), s.NewClient()
		stale.SetStaleness(30 * time.Second)
		revision, err := c.CompareAndSwap(t.Context(), "k", 0, []byte("old"), 0)
		assert.NilError(t, err)
		time.Sleep(time.Minute)
		_, err = c.CompareAndSwap(t.Context(), "k", revision, []byte("new"), 0)
		assert.NilError(t, err)
		for _, want := range []string{"old", "new"} {
			entry, err := stale.Get(t.Context(), "k")
			assert.NilError(t, err)
			assert.Equal(t, string(entry.Value), want)
			time.Sleep(31 * time.Second)
		}
	})
}

func TestDownEndsWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New(memstore.Options{})
		time.AfterFunc(time.Minute, func() { s.SetDown(true) })
		_, err := s.NewClient().Watch(t.Context(), "k", 0)
		assert.ErrorIs(t, err, store.ErrUnavailable)
	})
}

func TestRateLimitRefusesWithoutEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New(memstore.Options{WritesPerSecond: 2, ReadsPerSecond: 5})
		c := s.NewClient()
		for _, key := range []string{"a", "b"} {
			_, err := c.CompareAndSwap(t.Context(), key, 0, nil, 0)
			assert.NilError(t, err)
		}
		_, err := c.CompareAndSwap(t.Context(), "c", 0, nil, 0)
		assert.ErrorIs(t, err, store.ErrUnavailable)
		_, err = c.Get(t.Context(), "c")
		assert.ErrorIs(t, err, store.ErrNotFound)
		time.Sleep(time.Second)
		_, err = c.CompareAndSwap(t.Context(), "c", 0, nil, 0)
		assert.NilError(t, err)
		assert.Equal(t, s.Counts().Refused, uint64(1))
	})
}

func TestRestoreSnapshot(t *testing.T) {
	s := memstore.New(memstore.Options{})
	c := s.NewClient()
	first, err := c.CompareAndSwap(t.Context(), "k", 0, []byte("old"), 0)
	assert.NilError(t, err)
	saved := s.Save()
	_, err = c.CompareAndSwap(t.Context(), "k", first, []byte("new"), 0)
	assert.NilError(t, err)
	s.Restore(saved)
	entry, err := c.Get(t.Context(), "k")
	assert.NilError(t, err)
	assert.Equal(t, string(entry.Value), "old")
	assert.Equal(t, entry.Revision, first)
}
