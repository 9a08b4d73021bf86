package follow

import (
	"cmp"
	"context"
	"errors"
	"io"
	"slices"
	"strconv"
	"sync"
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
	errDown  = errors.New("store is down")
	errEntry = errors.New("entry of another writer")
)

// fakeStore is a Source in memory.
type fakeStore struct {
	mu        sync.Mutex
	revision  Revision
	version   uint64
	changed   map[Topic]Revision
	endpoints map[string]bool
	// unusable are listed with entries that can't be used.
	unusable []domain.EndpointID
	// oldest is the revision before which history is gone.
	oldest Revision
	down   bool
	// deaf watches never return, others are late by this.
	deaf bool
	late time.Duration
	// pieces of an answer come pieceEvery apart; 0 for all at once.
	pieces     int
	pieceEvery time.Duration
	wake       chan struct{}
	calls      int
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

// asked is how many calls there were.
func (s *fakeStore) asked() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *fakeStore) whole(topic Topic) Change {
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

// documentOf is a configuration as the fake store's operators write it: its version.
func documentOf(version uint64) []byte { return strconv.AppendUint(nil, version, 10) }

func (s *fakeStore) Table(document []byte) (*routetable.Table, error) {
	version, err := strconv.ParseUint(string(document), 10, 64)
	if err != nil {
		return nil, err
	}
	return routetable.New(version, nil, nil, nil, routetable.Limits{})
}

// carry takes the time of an answer.
func (s *fakeStore) carry(ctx context.Context) error {
	s.mu.Lock()
	answer := &transfer{ctx, s.pieces, s.pieceEvery}
	s.mu.Unlock()
	_, err := io.Copy(io.Discard, store.ProgressReader(ctx, answer))
	return err
}

func (s *fakeStore) Load(ctx context.Context, topic Topic) (Change, error) {
	if err := s.carry(ctx); err != nil {
		return Change{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return Change{}, errDown
	}
	return s.whole(topic), nil
}

func (s *fakeStore) Watch(ctx context.Context, topic Topic, after Revision, wait time.Duration) (Change, error) {
	s.mu.Lock()
	s.calls++
	timer := time.NewTimer(wait + s.late)
	defer timer.Stop()
	s.mu.Unlock()
	for {
		s.mu.Lock()
		change, wake, done, err := s.look(topic, after)
		s.mu.Unlock()
		if err != nil {
			return change, err
		}
		if done {
			return change, s.carry(ctx)
		}
		select {
		case <-ctx.Done():
			return Change{}, ctx.Err()
		case <-timer.C:
			s.mu.Lock()
			change, _, done, err := s.look(topic, after)
			deaf, revision := s.deaf, s.revision
			s.mu.Unlock()
			switch {
			case deaf:
				<-ctx.Done()
				return Change{}, ctx.Err()
			case done:
				// The change came at the instant at which the wait ended.
				return change, err
			}
			return Change{Revision: revision}, nil
		case <-wake:
		}
	}
}

func (s *fakeStore) look(topic Topic, after Revision) (Change, chan struct{}, bool, error) {
	switch {
	case s.down:
		return Change{}, nil, true, errDown
	case after < s.oldest:
		return Change{}, nil, true, ErrCompacted
	case !s.deaf && s.changed[topic] > after:
		c := s.whole(topic)
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

// follower runs a follower for a test under synctest.
func follower(t *testing.T, s Source, confirms bool) *Follower {
	return roleFollower(t, s, role{confirms: confirms})
}

// role is what a follower does for the other nodes, and what they do for it.
type role struct {
	confirms, passesOn, passedOn bool
	// nodes is the number of nodes, 3 if it is zero.
	nodes int
}

func roleFollower(t *testing.T, s Source, r role) *Follower {
	start := time.Now()
	listed := make(chan struct{})
	close(listed)
	f := New(Dependencies{
		Source: s, Directory: directory.New(), Clock: func() boottime.Instant { return boottime.Instant(time.Hour + time.Since(start)) },
		OnConfiguration: func(*routetable.Table) {}, Confirms: func() bool { return r.confirms },
		ForwardsChanges: func() bool { return r.passesOn }, HasForwarder: func() bool { return r.passedOn },
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

func (f *Follower) age() time.Duration { return f.Age(f.parts.Clock()) }

func TestAgeStaysBoundedWhileTheStoreAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := follower(t, newFakeStore(), true)
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			assert.Assert(t, f.age() <= 2*confirmWait+watchSlack, "%v", f.age())
		}
	})
}

func TestAgeGrowsWithASilentStoreFromTheSendingOfTheLastCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		f := follower(t, s, true)
		time.Sleep(3 * confirmWait)
		s.set(func() { s.deaf = true })
		before := f.age()
		time.Sleep(10 * time.Second)
		assert.Assert(t, f.age() >= before+10*time.Second, "an unanswered watch confirms nothing")
	})
}

func TestAgeCountsFromTheSendingOfTheCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.late = watchSlack / 2
		f := follower(t, s, true)
		time.Sleep(3 * (confirmWait + s.late))
		for range 500 {
			time.Sleep(10 * time.Millisecond)
			assert.Assert(t, f.age() >= s.late, "the store may have changed while its answer came: %v", f.age())
		}
	})
}

func TestVersionNeverGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		f := follower(t, s, true)
		s.change(Configuration, func() { s.version = 5 })
		time.Sleep(time.Second)
		assert.Equal(t, f.Table().Version, uint64(5))
		s.change(Configuration, func() { s.version = 4 })
		time.Sleep(5 * time.Second)
		assert.Equal(t, f.Table().Version, uint64(5))
	})
}

func TestLostHistoryIsReadAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		f := follower(t, s, true)
		s.set(func() { s.deaf = true })
		s.change(Endpoints, func() { s.endpoints = map[string]bool{"b": true} })
		s.change(Configuration, func() { s.version = 2; s.oldest = s.revision; s.deaf = false })
		time.Sleep(time.Second)
		assert.Equal(t, f.Table().Version, uint64(2))
		assert.Assert(t, f.parts.Directory.Current().Endpoint("a") == nil, "history lost is no outage: missing means gone")
	})
}

func TestEntriesThatLapseWithTheStoreAreKeptUntilItsReturnHasSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		f := follower(t, s, true)
		s.change(Endpoints, func() { s.down = true; s.endpoints = map[string]bool{} })
		time.Sleep(3 * time.Second)
		s.set(func() { s.down = false })
		time.Sleep(returnGrace - 500*time.Millisecond)
		assert.Assert(t, f.parts.Directory.Current().Endpoint("a") != nil)
		time.Sleep(returnGrace + 500*time.Millisecond)
		assert.Assert(t, f.parts.Directory.Current().Endpoint("a") == nil)
	})
}

func TestPeersConfirmationsSaveCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		f := follower(t, s, false)
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			f.ObservePeer(PeerState{Version: 1, Confirmed: f.parts.Clock().Add(-2 * time.Second)})
		}
		assert.Assert(t, f.age() <= 3*time.Second)
		assert.Assert(t, s.calls <= 4, "%d calls", s.calls)
	})
}

func TestNodeAsksItselfWhenConfirmationsStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := follower(t, newFakeStore(), false)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			assert.Assert(t, f.age() <= relayLost+lookEvery+probeTimeout, "%v", f.age())
		}
	})
}

func TestNodeBehindItsPeersAsksTheStore(t *testing.T) {
	words := map[Topic]PeerState{Configuration: {Version: 2}, Endpoints: {Version: 1, Endpoints: 2}}
	for topic, word := range words {
		t.Run(topic.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFakeStore()
				f := follower(t, s, false)
				s.set(func() { s.deaf = true })
				s.change(topic, func() { s.version, s.endpoints = word.Version, map[string]bool{"b": true} })
				synctest.Wait()
				s.set(func() { s.deaf = false }) // the watch that waits stays deaf, new ones hear
				for range 15 {
					word.Confirmed = f.parts.Clock()
					f.ObservePeer(word)
					time.Sleep(100 * time.Millisecond)
				}
				assert.Equal(t, f.Table().Version, word.Version)
				assert.Equal(t, f.knows("b"), topic == Endpoints)
			})
		})
	}
}

// In a large fleet some peers may lack a change like this node, and say so all the time.
func TestPeersThatAreBehindTooDoNotKeepANodeFromAsking(t *testing.T) {
	for _, nodes := range []int{3, 17, 69, 300} {
		synctest.Test(t, func(t *testing.T) {
			s := newFakeStore()
			f := roleFollower(t, s, role{passedOn: true, nodes: nodes})
			s.change(Endpoints, func() { s.endpoints = map[string]bool{"b": true} })
			for range 10 * int((newerPatience+batchPauseMost)/time.Second+1) {
				f.ObservePeer(PeerState{Version: 1, Endpoints: 2, Confirmed: f.parts.Clock()})
				f.ObservePeer(PeerState{Version: 1, Endpoints: 1, Confirmed: f.parts.Clock()})
				time.Sleep(100 * time.Millisecond)
			}
			assert.Assert(t, f.knows("b"), "%d nodes", nodes)
		})
	}
}

func TestRemovalWhileOnlyThisNodeWasCutOffIsNotKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		f := follower(t, s, true)
		s.change(Endpoints, func() { s.down = true; s.endpoints = map[string]bool{} })
		for range 30 {
			f.ObservePeer(PeerState{Version: 1, Endpoints: s.changed[Endpoints]})
			time.Sleep(100 * time.Millisecond)
		}
		s.set(func() { s.down = false })
		time.Sleep(returnGrace - 500*time.Millisecond)
		assert.Assert(t, f.parts.Directory.Current().Endpoint("a") == nil, "peers saw the removal: the store was not away")
	})
}
