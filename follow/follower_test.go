package follow

import (
	"cmp"
	"context"
	"errors"
	"io"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/directory"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/routetable"
	"hawthornrill.example/hawthornrill/store"
)

var (
	errUnavailable = errors.New("store unavailable")
	errEntry       = errors.New("entry of another writer")
)

// fakeStore is an in-memory Source.
type fakeStore struct {
	mu        sync.Mutex
	revision  Revision
	version   uint64
	changed   map[Topic]Revision
	endpoints map[string]bool
	// unusable are endpoints listed with unusable entries.
	unusable []domain.EndpointID
	// oldest is the revision before which history is compacted.
	oldest Revision
	down   bool
	// unresponsive makes watches never return. Otherwise empty watches return late by responseDelay.
	unresponsive  bool
	responseDelay time.Duration
	// A response arrives in chunks separated by chunkInterval, or at once if chunks is 0.
	chunks        int
	chunkInterval time.Duration
	wake          chan struct{}
	calls         int
}

func newFakeStore() *fakeStore {
	return &fakeStore{revision: 1, version: 1, changed: map[Topic]Revision{}, endpoints: map[string]bool{"a": true}, wake: make(chan struct{})}
}

func (s *fakeStore) change(topic Topic, edit func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.changed[topic] = s.revision
	edit()
	close(s.wake)
	s.wake = make(chan struct{})
}

func (s *fakeStore) set(edit func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	edit()
}

// callCount returns the number of calls.
func (s *fakeStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *fakeStore) snapshot(topic Topic) Change {
	c := Change{Revision: s.revision, Last: s.changed[topic]}
	if topic == Configuration {
		c.Document = documentOf(s.version)
		c.Table, _ = s.Table(c.Document)
		return c
	}
	for _, id := range s.unusable {
		c.Unusable = append(c.Unusable, id)
		c.Rejected = append(c.Rejected, errEntry)
	}
	for id := range s.endpoints {
		if slices.Contains(s.unusable, domain.EndpointID(id)) {
			continue
		}
		c.Endpoints = append(c.Endpoints, &directory.Endpoint{ID: domain.EndpointID(id), Service: "s"})
	}
	return c
}

// documentOf returns the fake store's document of a configuration, which is its version.
func documentOf(version uint64) []byte { return strconv.AppendUint(nil, version, 10) }

func (s *fakeStore) Table(document []byte) (*routetable.Table, error) {
	version, err := strconv.ParseUint(string(document), 10, 64)
	if err != nil {
		return nil, err
	}
	return routetable.New(version, nil, nil, nil, routetable.Limits{})
}

// transferResponse takes the time of a response transfer.
func (s *fakeStore) transferResponse(ctx context.Context) error {
	s.mu.Lock()
	answer := &slowResponse{ctx, s.chunks, s.chunkInterval}
	s.mu.Unlock()
	_, err := io.Copy(io.Discard, store.ProgressReader(ctx, answer))
	return err
}

func (s *fakeStore) Load(ctx context.Context, topic Topic) (Change, error) {
	if err := s.transferResponse(ctx); err != nil {
		return Change{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return Change{}, errUnavailable
	}
	return s.snapshot(topic), nil
}

func (s *fakeStore) Watch(ctx context.Context, topic Topic, after Revision, wait time.Duration) (Change, error) {
	s.mu.Lock()
	s.calls++
	timer := time.NewTimer(wait + s.responseDelay)
	defer timer.Stop()
	s.mu.Unlock()
	for {
		s.mu.Lock()
		change, wake, done, err := s.changeAfter(topic, after)
		s.mu.Unlock()
		if err != nil {
			return change, err
		}
		if done {
			return change, s.transferResponse(ctx)
		}
		select {
		case <-ctx.Done():
			return Change{}, ctx.Err()
		case <-timer.C:
			s.mu.Lock()
			change, _, done, err := s.changeAfter(topic, after)
			unresponsive, revision := s.unresponsive, s.revision
			s.mu.Unlock()
			switch {
			case unresponsive:
				<-ctx.Done()
				return Change{}, ctx.Err()
			case done:
				// The change arrived at the same instant as the end of the wait.
				return change, err
			}
			return Change{Revision: revision}, nil
		case <-wake:
		}
	}
}

func (s *fakeStore) changeAfter(topic Topic, after Revision) (Change, chan struct{}, bool, error) {
	switch {
	case s.down:
		return Change{}, nil, true, errUnavailable
	case after < s.oldest:
		return Change{}, nil, true, ErrCompacted
	case !s.unresponsive && s.changed[topic] > after:
		c := s.snapshot(topic)
		if topic == Endpoints && !s.endpoints["a"] {
			c.Removed = []domain.EndpointID{"a"}
		}
		return c, nil, true, nil
	}
	return Change{}, s.wake, false, nil
}

func (s *fakeStore) Nodes(context.Context, bool) (NodeList, error) {
	return NodeList{Nodes: []Peer{{Node: "n"}}}, nil
}

// startFollower runs a follower for a test under synctest.
func startFollower(t *testing.T, s Source, confirms bool) *Follower {
	return startFollowerWithRole(t, s, role{confirms: confirms})
}

// role states what a follower does for the other nodes and they for it.
type role struct {
	confirms, forwardsChanges, hasForwarder bool
	// becomesConfirmer, if set, makes the node confirm once it is true.
	becomesConfirmer *atomic.Bool
	// nodes is the number of nodes in the fleet, 3 if zero.
	nodes int
}

func startFollowerWithRole(t *testing.T, s Source, r role) *Follower {
	start := time.Now()
	listed := make(chan struct{})
	close(listed)
	f := New(Dependencies{
		Source: s, Directory: directory.New(), Clock: func() boottime.Instant { return boottime.Instant(time.Hour + time.Since(start)) },
		OnConfiguration: func(*routetable.Table) {}, Confirms: func() bool { return r.confirms || r.becomesConfirmer != nil && r.becomesConfirmer.Load() },
		ForwardsChanges: func() bool { return r.forwardsChanges }, HasForwarder: func() bool { return r.hasForwarder },
		Fleet: func() (int, bool) { return cmp.Or(r.nodes, 3), false }, Registered: listed, Log: zerolog.Nop(), Metrics: metrics.NewSet(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = f.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	time.Sleep(time.Millisecond)
	synctest.Wait()
	return f
}

func (f *Follower) age() time.Duration { return f.Age(f.deps.Clock()) }

func TestAgeStaysBoundedWhileStoreResponds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFollower(t, newFakeStore(), true)
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			assert.Assert(t, f.age() <= 2*confirmingWatchWait+watchTimeoutMargin, "%v", f.age())
		}
	})
}

func TestAgeGrowsWhileStoreIsUnresponsive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		f := startFollower(t, s, true)
		time.Sleep(3 * confirmingWatchWait)
		s.set(func() { s.unresponsive = true })
		before := f.age()
		time.Sleep(10 * time.Second)
		assert.Assert(t, f.age() >= before+10*time.Second, "an unanswered watch must not confirm")
	})
}

func TestAgeCountsFromSendTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.responseDelay = watchTimeoutMargin / 2
		f := startFollower(t, s, true)
		time.Sleep(3 * (confirmingWatchWait + s.responseDelay))
		for range 500 {
			time.Sleep(10 * time.Millisecond)
			assert.Assert(t, f.age() >= s.responseDelay, "the store may have changed during the response: %v", f.age())
		}
	})
}

func TestVersionNeverDecreases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		f := startFollower(t, s, true)
		s.change(Configuration, func() { s.version = 5 })
		time.Sleep(time.Second)
		assert.Equal(t, f.Table().Version, uint64(5))
		s.change(Configuration, func() { s.version = 4 })
		time.Sleep(5 * time.Second)
		assert.Equal(t, f.Table().Version, uint64(5))
	})
}

func TestCompactedHistoryIsReloaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		f := startFollower(t, s, true)
		s.set(func() { s.unresponsive = true })
		s.change(Endpoints, func() { s.endpoints = map[string]bool{"b": true} })
		s.change(Configuration, func() { s.version = 2; s.oldest = s.revision; s.unresponsive = false })
		time.Sleep(time.Second)
		assert.Equal(t, f.Table().Version, uint64(2))
		assert.Assert(t, f.deps.Directory.Current().Endpoint("a") == nil, "compacted history is not an outage: missing entries are removed")
	})
}

func TestEntriesMissingAfterOutageAreRetained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		f := startFollower(t, s, true)
		s.change(Endpoints, func() { s.down = true; s.endpoints = map[string]bool{} })
		time.Sleep(3 * time.Second)
		s.set(func() { s.down = false })
		time.Sleep(missingEntryRetention - 500*time.Millisecond)
		assert.Assert(t, f.deps.Directory.Current().Endpoint("a") != nil)
		time.Sleep(missingEntryRetention + 500*time.Millisecond)
		assert.Assert(t, f.deps.Directory.Current().Endpoint("a") == nil)
	})
}

func TestPeerConfirmationsReduceStoreCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		f := startFollower(t, s, false)
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			f.ObservePeer(PeerState{Version: 1, Confirmed: f.deps.Clock().Add(-2 * time.Second)})
		}
		assert.Assert(t, f.age() <= 3*time.Second)
		assert.Assert(t, s.calls <= 4, "%d calls", s.calls)
	})
}

func TestNodeQueriesStoreWhenConfirmationsStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFollower(t, newFakeStore(), false)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			assert.Assert(t, f.age() <= peerConfirmationTimeout+monitorInterval+probeTimeout, "%v", f.age())
		}
	})
}

// Guards against a node that begins to confirm, since the store turned the confirmer away, waiting for the end of a long watch.
func TestNewConfirmerQueriesStoreAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var confirms atomic.Bool
		f := startFollowerWithRole(t, newFakeStore(), role{becomesConfirmer: &confirms})
		time.Sleep(time.Second)
		confirms.Store(true)
		for range 50 {
			time.Sleep(monitorInterval)
			assert.Assert(t, f.deps.Clock().Sub(f.StoreAvailability().Last) <= confirmingWatchWait+2*monitorInterval)
		}
	})
}

func TestNodeBehindItsPeersQueriesStore(t *testing.T) {
	states := map[Topic]PeerState{Configuration: {Version: 2}, Endpoints: {Version: 1, Endpoints: 2}}
	for topic, state := range states {
		t.Run(topic.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFakeStore()
				f := startFollower(t, s, false)
				s.set(func() { s.unresponsive = true })
				s.change(topic, func() { s.version, s.endpoints = state.Version, map[string]bool{"b": true} })
				synctest.Wait()
				s.set(func() { s.unresponsive = false }) // the watch in progress stays unresponsive, new ones respond
				for range 15 {
					state.Confirmed = f.deps.Clock()
					f.ObservePeer(state)
					time.Sleep(100 * time.Millisecond)
				}
				assert.Equal(t, f.Table().Version, state.Version)
				assert.Equal(t, f.lists("b"), topic == Endpoints)
			})
		})
	}
}

// In a large fleet some peers may lack the same change and report so all the time. Such reports must not restart the wait
// after which this node queries the store.
func TestLaggingPeersDoNotDelayStoreQuery(t *testing.T) {
	for _, nodes := range []int{3, 17, 69, 300} {
		synctest.Test(t, func(t *testing.T) {
			s := newFakeStore()
			f := startFollowerWithRole(t, s, role{hasForwarder: true, nodes: nodes})
			s.change(Endpoints, func() { s.endpoints = map[string]bool{"b": true} })
			for range 10 * int((peerAheadTimeout+maxBatchDelay)/time.Second+1) {
				f.ObservePeer(PeerState{Version: 1, Endpoints: 2, Confirmed: f.deps.Clock()})
				f.ObservePeer(PeerState{Version: 1, Endpoints: 1, Confirmed: f.deps.Clock()})
				time.Sleep(100 * time.Millisecond)
			}
			assert.Assert(t, f.lists("b"), "%d nodes", nodes)
		})
	}
}

func TestRemovalDuringLocalDisconnectionIsNotRetained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		f := startFollower(t, s, true)
		s.change(Endpoints, func() { s.down = true; s.endpoints = map[string]bool{} })
		start := f.deps.Clock()
		for range 30 {
			f.ObservePeer(PeerState{Version: 1, Endpoints: s.changed[Endpoints], Store: Availability{Since: start, Last: f.deps.Clock()}})
			time.Sleep(100 * time.Millisecond)
		}
		s.set(func() { s.down = false })
		time.Sleep(missingEntryRetention - 500*time.Millisecond)
		assert.Assert(t, f.deps.Directory.Current().Endpoint("a") == nil, "peers saw the removal, so the store was available")
	})
}
