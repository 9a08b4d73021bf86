package follow

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// silentAccess is one node's access to the store. While it is silent, answers are lost. A call whose answer is lost never returns, also not
// after the silence.
type silentAccess struct {
	*fakeStore
	mu     sync.Mutex
	silent bool
}

func (a *silentAccess) setSilent(silent bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent = silent
}

func (a *silentAccess) waitIfSilent(ctx context.Context) error {
	a.mu.Lock()
	silent := a.silent
	a.mu.Unlock()
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func (a *silentAccess) Load(ctx context.Context, topic Topic) (Change, error) {
	if err := a.waitIfSilent(ctx); err != nil {
		return Change{}, err
	}
	return a.fakeStore.Load(ctx, topic)
}

func (a *silentAccess) Watch(ctx context.Context, topic Topic, after Revision, wait time.Duration) (Change, error) {
	if err := a.waitIfSilent(ctx); err != nil {
		return Change{}, err
	}
	change, err := a.fakeStore.Watch(ctx, topic, after, wait)
	if silent := a.waitIfSilent(ctx); silent != nil {
		return Change{}, silent
	}
	return change, err
}

// silentFleet is a number of followers that report to each other. The first one confirms the configuration for the others.
type silentFleet struct {
	store     *fakeStore
	access    []*silentAccess
	followers []*Follower
}

func startSilentFleet(t *testing.T, nodes int) *silentFleet {
	f := &silentFleet{store: newFakeStore()}
	for i := range nodes {
		access := &silentAccess{fakeStore: f.store}
		f.access = append(f.access, access)
		f.followers = append(f.followers, startFollowerWithRole(t, access, role{confirms: i == 0, nodes: nodes}))
	}
	f.pass(5 * time.Second)
	return f
}

// pass lets time pass, in which the nodes report to each other ten times a second.
func (f *silentFleet) pass(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(min(100*time.Millisecond, time.Until(end)))
		for _, from := range f.followers {
			now := from.deps.Clock()
			state := PeerState{
				Version: from.version(), Confirmed: now.Add(-from.Age(now)), EndpointsConfirmed: now.Add(-from.EndpointsAge(now)),
				StoreRevision: from.StoreRevision(), Store: from.StoreAvailability(),
			}
			_, state.Endpoints = from.Revision(Endpoints)
			for _, to := range f.followers {
				if to != from {
					to.ObservePeer(state)
				}
			}
		}
	}
}

func (f *silentFleet) setSilent(silent bool) {
	for _, a := range f.access {
		a.setSilent(silent)
	}
}

// listing returns the number of nodes that use endpoint a.
func (f *silentFleet) listing() (nodes int) {
	for _, n := range f.followers {
		if n.lists("a") {
			nodes++
		}
	}
	return nodes
}

const (
	// stableTime is how long after a disturbance of the store nodes are held to its changes, removalTime the time in which a removal is
	// then followed, less what a report takes.
	stableTime  = 3 * time.Second
	removalTime = 1900 * time.Millisecond
)

// Guards against nodes that use endpoints for up to 25 s after they left, since their watches were sent just before or in a silence of the
// store and were never answered.
func TestRemovalAfterSilenceOfStore(t *testing.T) {
	for _, nodes := range []int{1, 2, 7} {
		for tenths := 1; tenths < 60; tenths += 4 {
			for _, before := range []time.Duration{0, 150 * time.Millisecond, 300 * time.Millisecond} {
				t.Run(fmt.Sprintf("%d nodes, silence %d, change %v before", nodes, tenths, before), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { removeAfterSilence(t, nodes, time.Duration(tenths)*100*time.Millisecond, before) })
				})
			}
		}
	}
}

// removeAfterSilence has an endpoint listed some time before the store falls silent, and another one removed stableTime after that.
func removeAfterSilence(t *testing.T, nodes int, silence, before time.Duration) {
	f := startSilentFleet(t, nodes)
	f.store.change(Endpoints, func() { f.store.endpoints["b"] = true })
	f.pass(before)
	f.setSilent(true)
	f.pass(silence)
	f.setSilent(false)
	f.pass(stableTime)
	assert.Equal(t, f.listing(), nodes)
	f.store.change(Endpoints, func() { delete(f.store.endpoints, "a") })
	f.pass(removalTime)
	assert.Equal(t, f.listing(), 0, "nodes that use an endpoint that has left")
}

// A node whose own watch alone is lost learns of changes from its peers' reports.
func TestRemovalIsFollowedIfOneWatchIsLost(t *testing.T) {
	for lost := range 3 {
		synctest.Test(t, func(t *testing.T) {
			f := startSilentFleet(t, 3)
			f.access[lost].setSilent(true)
			f.store.change(Endpoints, func() { f.store.endpoints["b"] = true })
			f.pass(50 * time.Millisecond)
			f.access[lost].setSilent(false)
			f.pass(stableTime)
			f.store.change(Endpoints, func() { delete(f.store.endpoints, "a") })
			f.pass(removalTime)
			assert.Equal(t, f.listing(), 0)
		})
	}
}

func TestQuietStoreCostsNoFurtherCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startSilentFleet(t, 3)
		before := f.store.callCount()
		f.pass(15 * time.Second)
		confirming := int(15*time.Second/confirmingWatchWait) + 1
		assert.Assert(t, f.store.callCount()-before <= confirming, "%d calls, %d confirm the configuration", f.store.callCount()-before, confirming)
	})
}

// Guards against a revision that no store has stated making nodes query the store all the time.
func TestImpossibleRevisionCostsFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		f := startFollower(t, s, false)
		before := s.callCount()
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			now := f.deps.Clock()
			f.ObservePeer(PeerState{Version: 1, Confirmed: now, StoreRevision: 1 << 60})
		}
		assert.Assert(t, s.callCount()-before <= 50, "%d calls in 20 s", s.callCount()-before)
	})
}
