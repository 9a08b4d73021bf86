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

func TestCallsASecondAreBounded(t *testing.T) {
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
		// Somebody waits for an edit: it has a rate of its own.
		_, err = s.CompareAndSwap(WithPurpose(t.Context(), PurposeEdit), "k", 0, nil, 0)
		assert.NilError(t, err)
		assert.Equal(t, time.Since(start), 2*time.Second)
	})
}

// TestNoStampedeAfterAnOutage has 1,000 nodes each of which wants to read once a
// second, over ten minutes of outage and a minute after it.
func TestNoStampedeAfterAnOutage(t *testing.T) {
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
		outage := m.Counts().Reads
		m.SetDown(false)
		end := time.Now()
		var worst time.Duration
		peak := peakOf(m, 15*time.Second)
		for range nodes {
			worst = max(worst, (<-recovered).Sub(end))
			<-done
		}
		cancel()
		t.Logf("calls a second in the outage %.0f, peak in any second after it %d, last node back after %s", float64(outage)/600, peak, worst)
		assert.Assert(t, float64(outage)/600 < 400)
		assert.Assert(t, peak < 500)
		assert.Assert(t, worst < 15*time.Second)
	})
}

// TestOneCallAtATimeTries has 50 callers in one node, in ten minutes in which each
// call fails after a second.
func TestOneCallAtATimeTries(t *testing.T) {
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
		// 40 may have begun before the first one failed; then one each 6 s on average.
		assert.Assert(t, m.Counts().Reads < 250, "%d calls", m.Counts().Reads)
	})
}

// peakOf returns the most calls in a second.
func peakOf(m *memstore.Store, over time.Duration) (peak uint64) {
	for range int(over / time.Second) {
		before := m.Counts().Reads
		time.Sleep(time.Second)
		peak = max(peak, m.Counts().Reads-before)
	}
	return peak
}

func TestGateTellsErrorsFromAnswers(t *testing.T) {
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
		{"watch without news", func(s *Store, _ *memstore.Store) error {
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
		{"answer lost", func(s *Store, m *memstore.Store) error {
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
