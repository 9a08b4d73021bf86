package follow

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// storeAccess is one node's access to the store, which may turn this node away and serve others.
type storeAccess struct {
	*fakeStore
	mu sync.Mutex
	// refused is closed while the store turns the node away.
	refused chan struct{}
}

// refuse makes the store turn the node away, also its calls in progress.
func (a *storeAccess) refuse() {
	a.mu.Lock()
	defer a.mu.Unlock()
	close(a.refused)
}

// admit makes the store serve the node again.
func (a *storeAccess) admit() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refused = make(chan struct{})
}

// untilRefused returns a context that ends when the node is turned away.
func (a *storeAccess) untilRefused(ctx context.Context) (context.Context, context.CancelFunc) {
	a.mu.Lock()
	refused := a.refused
	a.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	select {
	case <-refused:
		cancel()
	default:
		go func() {
			select {
			case <-refused:
				cancel()
			case <-ctx.Done():
			}
		}()
	}
	return ctx, cancel
}

func (a *storeAccess) Load(ctx context.Context, topic Topic) (Change, error) {
	ctx, cancel := a.untilRefused(ctx)
	defer cancel()
	if ctx.Err() != nil {
		return Change{}, errUnavailable
	}
	return a.fakeStore.Load(ctx, topic)
}

func (a *storeAccess) Watch(ctx context.Context, topic Topic, after Revision, wait time.Duration) (Change, error) {
	ctx, cancel := a.untilRefused(ctx)
	defer cancel()
	if ctx.Err() != nil {
		return Change{}, errUnavailable
	}
	return a.fakeStore.Watch(ctx, topic, after, wait)
}

// followerFleet is a number of followers of one store that report to each other.
type followerFleet struct {
	store     *fakeStore
	access    []*storeAccess
	followers []*Follower
}

func startFleet(t *testing.T, nodes int) *followerFleet {
	f := &followerFleet{store: newFakeStore()}
	for range nodes {
		access := &storeAccess{fakeStore: f.store, refused: make(chan struct{})}
		f.access = append(f.access, access)
		f.followers = append(f.followers, startFollowerWithRole(t, access, role{confirms: true, nodes: nodes}))
	}
	f.pass(5 * time.Second)
	return f
}

// pass lets time pass, in which the nodes report to each other ten times a second.
func (f *followerFleet) pass(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(min(100*time.Millisecond, time.Until(end)))
		for _, to := range f.followers {
			for _, from := range f.followers {
				if to == from {
					continue
				}
				_, last := from.Revision(Endpoints)
				to.ObservePeer(PeerState{Version: 1, Endpoints: last, Store: from.StoreAvailability()})
			}
		}
	}
}

// remove removes endpoint a from the store.
func (f *followerFleet) remove() {
	f.store.change(Endpoints, func() { f.store.endpoints = map[string]bool{"b": true} })
}

// list lists endpoint a again.
func (f *followerFleet) list() {
	f.store.change(Endpoints, func() { f.store.endpoints = map[string]bool{"a": true, "b": true} })
}

// listing returns the number of nodes that use endpoint a.
func (f *followerFleet) listing() (nodes int) {
	for _, n := range f.followers {
		if n.lists("a") {
			nodes++
		}
	}
	return nodes
}

// heldToRemovals is how long after the store serves a node again the node is held to what was removed, and removalDelay how long
// after a removal.
const (
	heldToRemovals = 3 * time.Second
	removalDelay   = 2 * time.Second
)

// Guards against nodes that the store turns away taking that for an outage and using endpoints for seconds that were removed
// meanwhile or soon after.
func TestEndpointRemovedWhileStoreTurnsNodesAwayIsNotRetained(t *testing.T) {
	for _, refused := range []int{1, 2, 4} {
		for _, removedAfter := range []time.Duration{-time.Second, 0, 200 * time.Millisecond, 600 * time.Millisecond} {
			synctest.Test(t, func(t *testing.T) {
				f := startFleet(t, 5)
				for _, a := range f.access[:refused] {
					a.refuse()
				}
				f.pass(3*time.Second + min(removedAfter, 0))
				if removedAfter < 0 {
					f.remove()
					f.pass(-removedAfter)
				}
				for _, a := range f.access[:refused] {
					a.admit()
				}
				if removedAfter >= 0 {
					f.pass(removedAfter)
					f.remove()
				}
				f.pass(max(removalDelay, heldToRemovals-max(removedAfter, 0)))
				assert.Equal(t, f.listing(), 0, "%d nodes turned away, removed %v after", refused, removedAfter)
			})
		}
	}
}

// Guards against a node that nobody reports to keeping such an endpoint until after it is held to its removal.
func TestNodeWithoutPeersDropsRemovedEndpointInTime(t *testing.T) {
	for range 20 {
		synctest.Test(t, func(t *testing.T) {
			f := startFleet(t, 1)
			f.access[0].refuse()
			f.pass(3 * time.Second)
			f.remove()
			f.access[0].admit()
			f.pass(heldToRemovals)
			assert.Equal(t, f.listing(), 0)
		})
	}
}

// Guards against an outage of the store emptying a service: entries that expired in it are listed again within about two seconds.
func TestEntriesExpiredInOutageAreRetainedByAllNodes(t *testing.T) {
	for _, nodes := range []int{1, 2, 7} {
		for range 10 {
			synctest.Test(t, func(t *testing.T) {
				f := startFleet(t, nodes)
				f.store.change(Endpoints, func() { f.store.down = true })
				f.pass(3 * time.Second)
				f.store.change(Endpoints, func() { f.store.down, f.store.endpoints = false, map[string]bool{"b": true} })
				for range 14 {
					f.pass(100 * time.Millisecond)
					assert.Equal(t, f.listing(), nodes)
				}
				f.list()
				f.pass(2 * time.Second)
				assert.Equal(t, f.listing(), nodes)
			})
		}
	}
}

// An outage while the store also turns a node away, for longer: that node must neither drop what has expired nor keep what is still
// missing after the others have dropped it.
func TestNodeTurnedAwayBeyondOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 5)
		f.access[0].refuse()
		f.pass(time.Second)
		f.store.change(Endpoints, func() { f.store.down = true })
		f.pass(3 * time.Second)
		f.store.change(Endpoints, func() { f.store.down, f.store.endpoints = false, map[string]bool{"b": true} })
		f.pass(time.Second)
		assert.Equal(t, f.listing(), 5)
		f.access[0].admit()
		f.pass(500 * time.Millisecond)
		assert.Equal(t, f.listing(), 5, "it may be listed again")
		f.pass(1500 * time.Millisecond)
		assert.Equal(t, f.listing(), 0, "it is still missing")
	})
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 5)
		f.access[0].refuse()
		f.store.change(Endpoints, func() { f.store.down = true })
		f.pass(3 * time.Second)
		f.store.change(Endpoints, func() { f.store.down, f.store.endpoints = false, map[string]bool{"b": true} })
		f.pass(4 * time.Second)
		f.access[0].admit()
		f.pass(maxRetryDelay*3/2 + maxBatchDelay)
		assert.Equal(t, f.listing(), 0, "the outage ended long before the store served this node")
	})
}

// Guards against a node that is turned away after an outage dropping what is listed again meanwhile.
func TestMissingEntryIsKeptWhileStoreTurnsNodeAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 3)
		f.store.change(Endpoints, func() { f.store.down = true })
		f.pass(3 * time.Second)
		f.store.change(Endpoints, func() { f.store.down, f.store.endpoints = false, map[string]bool{"b": true} })
		f.pass(1400 * time.Millisecond)
		f.access[0].refuse()
		synctest.Wait()
		f.list()
		for range 50 {
			f.pass(100 * time.Millisecond)
			assert.Equal(t, f.listing(), 3)
		}
		f.access[0].admit()
		f.pass(2 * time.Second)
		assert.Equal(t, f.listing(), 3)
		f.access[0].refuse()
		f.pass(time.Second)
		f.remove()
		f.access[0].admit()
		f.pass(removalDelay)
		assert.Equal(t, f.listing(), 0)
	})
}

// Guards against discarded history, which the store announces by cutting all watches, being taken for an outage.
func TestEntriesMissingAfterCompactionAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 3)
		for _, a := range f.access {
			a.refuse() // cuts the watches
		}
		f.pass(10 * time.Millisecond)
		f.store.change(Endpoints, func() { f.store.endpoints = map[string]bool{"b": true} })
		f.store.set(func() { f.store.oldest = f.store.revision })
		for _, a := range f.access {
			a.admit()
		}
		f.pass(time.Second)
		assert.Equal(t, f.listing(), 0)
	})
}
