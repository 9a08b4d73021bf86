package follow

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/store"
)

// busyStore is a Source and Registry that refuses all calls and asks for a pause.
type busyStore struct {
	Source
	after time.Duration
	calls int
}

func (s *busyStore) refuse() error {
	s.calls++
	return &store.RetryLaterError{Status: 503, After: s.after}
}

func (s *busyStore) Load(context.Context, Topic) (Change, error) { return Change{}, s.refuse() }
func (s *busyStore) Watch(context.Context, Topic, Revision, time.Duration) (Change, error) {
	return Change{}, s.refuse()
}
func (s *busyStore) Nodes(context.Context, bool) (NodeList, error) { return NodeList{}, s.refuse() }
func (s *busyStore) Register(context.Context, Peer, time.Duration) (store.LeaseID, error) {
	return 0, s.refuse()
}
func (s *busyStore) Renew(context.Context, store.LeaseID) error      { return s.refuse() }
func (s *busyStore) Unregister(context.Context, store.LeaseID) error { return s.refuse() }

func newTestPause() *Pause {
	began := time.Now()
	return &Pause{Clock: func() boottime.Instant { return boottime.Instant(time.Since(began)) }, Log: zerolog.Nop()}
}

// Guards against calls of any kind to a store that has asked for none.
func TestNoCallsDuringPauseOfStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := &busyStore{after: 3 * time.Second}
		pause := newTestPause()
		source, registry := pause.Source(inner), pause.Registry(inner)
		calls := []func() error{
			func() error { _, err := source.Load(t.Context(), Endpoints); return err },
			func() error { _, err := source.Watch(t.Context(), Configuration, 1, time.Second); return err },
			func() error { _, err := source.Nodes(t.Context(), true); return err },
			func() error { _, err := registry.Register(t.Context(), Peer{}, time.Second); return err },
			func() error { return registry.Renew(t.Context(), 1) },
			func() error { return registry.Unregister(t.Context(), 1) },
		}
		for i, first := range calls {
			assert.ErrorIs(t, first(), store.ErrUnavailable)
			assert.Equal(t, inner.calls, i+1)
			for range 2 {
				time.Sleep(1400 * time.Millisecond)
				for _, call := range calls {
					assert.ErrorIs(t, call(), store.ErrUnavailable)
				}
			}
			assert.Equal(t, inner.calls, i+1, "calls during the pause")
			time.Sleep(time.Second)
		}
	})
}

func TestPauseIsBoundedAndNotShortened(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pause := newTestPause()
		pause.observe(&store.RetryLaterError{After: 1 << 62})
		pause.observe(&store.RetryLaterError{After: time.Second})
		time.Sleep(maxPause - time.Millisecond)
		assert.ErrorIs(t, pause.check(), store.ErrUnavailable)
		time.Sleep(2 * time.Millisecond)
		assert.NilError(t, pause.check())
		pause.observe(errUnavailable)
		assert.NilError(t, pause.check())
	})
}

func TestFollowerReturnsAfterPauseOfStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := newFakeStore()
		pause := newTestPause()
		f := startFollower(t, pause.Source(inner), true)
		synctest.Wait()
		pause.observe(&store.RetryLaterError{After: 4 * time.Second})
		time.Sleep(2 * time.Second)
		before := inner.callCount()
		time.Sleep(1900 * time.Millisecond)
		assert.Equal(t, inner.callCount(), before)
		time.Sleep(2 * time.Second)
		assert.Assert(t, f.Age(f.deps.Clock()) < 2*time.Second)
	})
}
