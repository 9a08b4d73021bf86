package follow

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/routetable"
)

func TestConfigurationIsPassedOnWithoutCallsToTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, unused, one, other := passingPair(t, 3)
		before := unused.asked()
		for version := uint64(2); version < 6; version++ {
			s.change(Configuration, func() { s.version = version })
			tell(one, other, 20)
			assert.Equal(t, other.Table().Version, version)
		}
		tell(one, other, 600)
		assert.Equal(t, unused.asked(), before, "the store was asked")
	})
}

func TestNodeCutOffFromTheStoreTakesALaterConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, cut := newFakeStore(), newFakeStore()
		one := roleFollower(t, s, role{confirms: true})
		other := roleFollower(t, cut, role{})
		cut.set(func() { cut.deaf = true })
		s.change(Configuration, func() { s.version = 7 })
		tell(one, other, 20)
		assert.Equal(t, other.Table().Version, uint64(7))
		tell(one, other, 300)
		assert.Assert(t, other.age() < time.Second, "its peer's word counts: %v", other.age())
	})
}

func TestNodeThatNeverReachedTheStoreTakesAConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, cut := newFakeStore(), newFakeStore()
		cut.down = true
		one := roleFollower(t, s, role{confirms: true})
		other := roleFollower(t, cut, role{})
		assert.Assert(t, other.Table() == nil)
		_, document := other.ConfigurationSince(0)
		assert.Assert(t, document == nil)
		tell(one, other, 2)
		assert.Equal(t, other.Table().Version, uint64(1))
	})
}

func TestConfigurationFromAPeerNeverGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.version = 5
		f := roleFollower(t, s, role{confirms: true})
		f.ApplyConfiguration("peer", 4, documentOf(4))
		f.ApplyConfiguration("peer", 9, documentOf(3))
		assert.Equal(t, f.Table().Version, uint64(5), "also if its report names another version than it has")
		f.ApplyConfiguration("peer", 6, nil)
		assert.Equal(t, f.Table().Version, uint64(5))
	})
}

func TestConfigurationThatCantBeReadIsReadOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		f := roleFollower(t, s, role{confirms: true})
		for range 10 {
			f.ApplyConfiguration("peer", 2, []byte("rubbish"))
		}
		assert.Equal(t, f.rejected.Get(), uint64(1))
		s.change(Configuration, func() { s.version = 2 })
		time.Sleep(time.Second)
		assert.Equal(t, f.Table().Version, uint64(2), "the store tells of it")
	})
}

func TestNodeAsksTheStoreOnceThePeersWordIsOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		f := roleFollower(t, s, role{passedOn: true})
		s.change(Configuration, func() { s.version = 2 })
		time.Sleep(relayLost + time.Second)
		assert.Equal(t, f.Table().Version, uint64(2))
		assert.Assert(t, f.age() < 2*confirmWait+time.Second)
	})
}

func TestNodeOutOfTouchWithTheConfigurationIsNotReliedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := roleFollower(t, newFakeStore(), role{confirms: true, passesOn: true})
		time.Sleep(time.Second)
		f.feeds[Configuration].failing.Store(true)
		_, reliable := f.EndpointChanges()
		assert.Assert(t, !reliable)
	})
}

// Pattern: the configuration has grown by two thousand routes and a node's link carries it in seconds.
func TestLongAnswerOverASlowLinkIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		f := roleFollower(t, s, role{passedOn: true})
		s.set(func() { s.pieces, s.pieceEvery = 10, 300*time.Millisecond })
		s.change(Configuration, func() { s.version = 2 })
		f.ObservePeer(PeerState{Version: 2, NotForwarded: true})
		before := s.asked()
		for range 32 {
			time.Sleep(100 * time.Millisecond)
			f.ObservePeer(PeerState{Version: 2, NotForwarded: true})
		}
		assert.Equal(t, f.version(), uint64(2), "asked at once, and not given up in the middle")
		assert.Assert(t, s.asked()-before <= 1, "asked %d times", s.asked()-before)
	})
}

func TestAnswerThatStopsIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		f := roleFollower(t, s, role{passedOn: true})
		s.set(func() { s.pieces, s.pieceEvery = 2, time.Hour })
		s.change(Configuration, func() { s.version = 2 })
		relay := func(tenths int) {
			for range tenths {
				f.ObservePeer(PeerState{Version: 2, NotForwarded: true})
				time.Sleep(100 * time.Millisecond)
			}
		}
		relay(16)
		s.set(func() { s.pieces = 0 })
		relay(10)
		assert.Equal(t, f.version(), uint64(2))
	})
}

func TestNodeThatHasAConfigurationByItsChangesHandsThoseOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		one := roleFollower(t, s, role{confirms: true, passesOn: true})
		other := roleFollower(t, newFakeStore(), role{passedOn: true})
		third := roleFollower(t, newFakeStore(), role{passedOn: true})
		tell(one, other, 2)
		s.change(Configuration, func() { s.version = 2 })
		tell(one, other, 5)
		changes, document := other.ConfigurationSince(1)
		assert.Assert(t, len(changes) == 1 && document == nil)
		third.ApplyConfigurationChanges("other", changes)
		assert.Equal(t, third.version(), uint64(2))
		third.ApplyConfigurationChanges("other", changes)
		assert.Equal(t, third.version(), uint64(2), "told twice")
		changes, _ = other.ConfigurationSince(7)
		assert.Equal(t, len(changes), 0, "changes from a version that it does not know of")
	})
}

func TestChangeThatDoesNotFitIsLeftToTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := roleFollower(t, newFakeStore(), role{confirms: true})
		for range 3 {
			f.ApplyConfigurationChanges("peer", []*routetable.Change{{From: 1, To: 2, Digest: 5}})
		}
		assert.Equal(t, f.version(), uint64(1))
		assert.Equal(t, f.rejected.Get(), uint64(1), "once")
	})
}

func TestBehindCountsFromTheFirstWordOfALaterConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		f := roleFollower(t, s, role{passedOn: true})
		s.set(func() { s.down = true })
		f.ObservePeer(PeerState{Version: 1})
		assert.Equal(t, f.Behind(f.parts.Clock()), time.Duration(0))
		for range 20 {
			f.ObservePeer(PeerState{Version: 5})
			time.Sleep(100 * time.Millisecond)
		}
		assert.Equal(t, f.Behind(f.parts.Clock()), 2*time.Second)
		f.ApplyConfiguration("peer", 5, documentOf(5))
		assert.Equal(t, f.Behind(f.parts.Clock()), time.Duration(0))
	})
}
