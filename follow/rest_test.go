package follow

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/store"
)

// restingStore holds back calls until a rest is over.
type restingStore struct {
	*fakeStore
	// until is the end of the rest and held counts the calls that were held back, both guarded by fakeStore.mu.
	until time.Time
	held  int
}

func (s *restingStore) Watch(ctx context.Context, topic Topic, after Revision, wait time.Duration) (Change, error) {
	var left time.Duration
	s.set(func() {
		if left = time.Until(s.until); left > 0 {
			s.held++
		}
	})
	if left > 0 {
		return Change{}, &store.RestError{Left: left}
	}
	return s.fakeStore.Watch(ctx, topic, after, wait)
}

// Guards against a node that notices the end of a rest up to a second late, and against calls that can't be sent in it.
func TestNodeCallsStoreAtEndOfRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &restingStore{fakeStore: newFakeStore()}
		f := startFollower(t, s, true)
		time.Sleep(3 * confirmingWatchWait)
		s.set(func() { s.until = time.Now().Add(5 * time.Second) })
		time.Sleep(5*time.Second + minRetryDelay + 10*time.Millisecond)
		assert.Assert(t, !f.feeds[Configuration].failing.Load() && !f.feeds[Endpoints].failing.Load())
		s.set(func() { assert.Assert(t, s.held <= int(topics), "%d calls held back", s.held) })
	})
}
