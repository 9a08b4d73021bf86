package budget

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/store"
	"hawthornrill.example/hawthornrill/store/memstore"
)

func TestCallRateIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(memstore.New(memstore.Options{}).NewClient(), Options{BackgroundPerSecond: 10, BackgroundBurst: 5})
		start := time.Now()
		for range 25 {
			_, err := s.Get(t.Context(), "k")
			assert.ErrorIs(t, err, store.ErrNotFound)
		}
		assert.Equal(t, time.Since(start), 2*time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		_, err := s.CompareAndSwap(ctx, "k", 0, nil, 0)
		assert.ErrorIs(t, err, store.ErrUnavailable)
		assert.Equal(t, s.Counts()[PurposeOther], uint64(25))
		// Edits have a rate limit of their own, as somebody waits for them.
		_, err = s.CompareAndSwap(WithPurpose(t.Context(), PurposeEdit), "k", 0, nil, 0)
		assert.NilError(t, err)
		assert.Equal(t, time.Since(start), 2*time.Second)
	})
}

// TestNoThunderingHerdAfterOutage guards against nodes that all retry at once when
// the store is back. Each of 1,000 nodes tries to read once a second during ten
// minutes of outage and until its first success after it.
func TestNoThunderingHerdAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes = 1000
		ctx, cancel := context.WithCancel(t.Context())
		m := memstore.New(memstore.Options{})
		m.SetDown(true)
		done := make(chan struct{})
		recovered := make(chan time.Time, nodes)
		for range nodes {
			go func() {
				s := New(m.NewClient(), Options{})
				read := func() bool { _, err := s.Get(ctx, "k"); return err == store.ErrNotFound }
				for ctx.Err() == nil && !read() {
					time.Sleep(time.Second)
				}
				recovered <- time.Now()
				done <- struct{}{}
			}()
		}
		time.Sleep(10 * time.Minute)
		outageCalls := m.Counts().Reads
		m.SetDown(false)
		end := time.Now()
		var worst time.Duration
		peak := peakOf(m, 15*time.Second)
		for range nodes {
			worst = max(worst, (<-recovered).Sub(end))
			<-done
		}
		cancel()
		t.Logf("calls/s during the outage %.0f, peak in any second after it %d, last node recovered after %s", float64(outageCalls)/600, peak, worst)
		assert.Assert(t, float64(outageCalls)/600 < 400)
		assert.Assert(t, peak < 500)
		assert.Assert(t, worst < 15*time.Second)
	})
}

// TestOneProbeAtATimeDuringOutage guards against callers in one node that probe a
// failing store independently of each other: for ten minutes, 50 callers make calls
// that each fail after a second.
func TestOneProbeAtATimeDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := memstore.New(memstore.Options{})
		m.SetFunc(func(memstore.Call) memstore.Fault { return memstore.Fault{Delay: time.Second, DropResponse: true} })
		s := New(m.NewClient(), Options{})
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Minute)
		defer cancel()
		var callers sync.WaitGroup
		for range 50 {
			callers.Go(func() {
				for ctx.Err() == nil {
					_, _ = s.Get(ctx, "k")
				}
			})
		}
		callers.Wait()
		// Up to 40 calls may begin before the first one fails; after that, one every 6 s on
		// average.
		assert.Assert(t, m.Counts().Reads < 250, "%d calls", m.Counts().Reads)
	})
}

// peakOf returns the largest number of reads in any second of the given period.
func peakOf(m *memstore.Store, over time.Duration) (peak uint64) {
	for range int(over / time.Second) {
		before := m.Counts().Reads
		time.Sleep(time.Second)
		peak = max(peak, m.Counts().Reads-before)
	}
	return peak
}

func TestGateDistinguishesErrorsFromResponses(t *testing.T) {
	cases := []struct {
		name    string
		call    func(s *Store, m *memstore.Store) error
		failing bool
	}{
		{"not found", func(s *Store, _ *memstore.Store) error { _, err := s.Get(context.Background(), "k"); return err }, false},
		{"conflict", func(s *Store, _ *memstore.Store) error {
			_, err := s.CompareAndSwap(context.Background(), "k", 9, nil, 0)
			return err
		}, false},
		{"lease gone", func(s *Store, _ *memstore.Store) error { return s.KeepAlive(context.Background(), 9) }, false},
		{"watch without a change", func(s *Store, _ *memstore.Store) error {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_, err := s.Watch(ctx, "k", 0)
			return err
		}, false},
		{"slow", func(s *Store, m *memstore.Store) error {
			m.SetDelay(time.Minute)
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_, err := s.Get(ctx, "k")
			return err
		}, true},
		{"response lost", func(s *Store, m *memstore.Store) error {
			m.DropNextResponses(1)
			_, err := s.CompareAndSwap(context.Background(), "k", 0, nil, 0)
			return err
		}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := memstore.New(memstore.Options{})
				s := New(m.NewClient(), Options{})
				assert.Assert(t, c.call(s, m) != nil)
				assert.Equal(t, s.gate.failing, c.failing)
				m.SetDelay(0)
				_, err := s.Get(context.Background(), "other")
				assert.ErrorIs(t, err, store.ErrNotFound)
				assert.Equal(t, s.gate.failing, false)
			})
		})
	}
}
