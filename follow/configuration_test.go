package follow

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/routetable"
)

func TestForwardedConfigurationNeedsNoStoreCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, receiverStore, sender, receiver := forwardingPair(t, 3)
		before := receiverStore.callCount()
		for version := uint64(2); version < 6; version++ {
			s.change(Configuration, func() { s.version = version })
			deliverReports(sender, receiver, 20)
			assert.Equal(t, receiver.Table().Version, version)
		}
		deliverReports(sender, receiver, 600)
		assert.Equal(t, receiverStore.callCount(), before, "store called")
	})
}

func TestNodeCutOffFromStoreAppliesPeerConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, cut := newFakeStore(), newFakeStore()
		sender := startFollowerWithRole(t, s, role{confirms: true})
		receiver := startFollowerWithRole(t, cut, role{})
		cut.set(func() { cut.unresponsive = true })
		s.change(Configuration, func() { s.version = 7 })
		deliverReports(sender, receiver, 20)
		assert.Equal(t, receiver.Table().Version, uint64(7))
		deliverReports(sender, receiver, 300)
		assert.Assert(t, receiver.age() < time.Second, "the peer's confirmation counts: %v", receiver.age())
	})
}

func TestNodeThatNeverReachedStoreAppliesPeerConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, cut := newFakeStore(), newFakeStore()
		cut.down = true
		sender := startFollowerWithRole(t, s, role{confirms: true})
		receiver := startFollowerWithRole(t, cut, role{})
		assert.Assert(t, receiver.Table() == nil)
		_, document := receiver.ConfigurationSince(0)
		assert.Assert(t, document == nil)
		deliverReports(sender, receiver, 2)
		assert.Equal(t, receiver.Table().Version, uint64(1))
	})
}

func TestPeerConfigurationNeverLowersVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.version = 5
		f := startFollowerWithRole(t, s, role{confirms: true})
		f.ApplyConfiguration("peer", 4, documentOf(4))
		f.ApplyConfiguration("peer", 9, documentOf(3))
		assert.Equal(t, f.Table().Version, uint64(5), "also if the report states a later version than the document")
		f.ApplyConfiguration("peer", 6, nil)
		assert.Equal(t, f.Table().Version, uint64(5))
	})
}

func TestUndecodableConfigurationIsDecodedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		f := startFollowerWithRole(t, s, role{confirms: true})
		for range 10 {
			f.ApplyConfiguration("peer", 2, []byte("rubbish"))
		}
		assert.Equal(t, f.rejected.Get(), uint64(1))
		s.change(Configuration, func() { s.version = 2 })
		time.Sleep(time.Second)
		assert.Equal(t, f.Table().Version, uint64(2), "read from the store")
	})
}

func TestNodeQueriesStoreWhenPeerConfirmationIsOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		f := startFollowerWithRole(t, s, role{hasForwarder: true})
		s.change(Configuration, func() { s.version = 2 })
		time.Sleep(peerConfirmationTimeout + time.Second)
		assert.Equal(t, f.Table().Version, uint64(2))
		assert.Assert(t, f.age() < 2*confirmingWatchWait+time.Second)
	})
}

func TestForwarderWithFailingConfigurationFeedIsNotReliable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFollowerWithRole(t, newFakeStore(), role{confirms: true, forwardsChanges: true})
		time.Sleep(time.Second)
		f.feeds[Configuration].failing.Store(true)
		_, reliable := f.EndpointChanges()
		assert.Assert(t, !reliable)
	})
}

// With a configuration of two thousand routes and a slow link, a response takes seconds.
func TestSlowResponseIsNotAborted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		f := startFollowerWithRole(t, s, role{hasForwarder: true})
		s.set(func() { s.chunks, s.chunkInterval = 10, 300*time.Millisecond })
		s.change(Configuration, func() { s.version = 2 })
		f.ObservePeer(PeerState{Version: 2, NotForwarded: true})
		before := s.callCount()
		for range 32 {
			time.Sleep(100 * time.Millisecond)
			f.ObservePeer(PeerState{Version: 2, NotForwarded: true})
		}
		assert.Equal(t, f.version(), uint64(2), "queried at once and the response not aborted")
		assert.Assert(t, s.callCount()-before <= 1, "%d store calls", s.callCount()-before)
	})
}

func TestStalledResponseIsAborted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		f := startFollowerWithRole(t, s, role{hasForwarder: true})
		s.set(func() { s.chunks, s.chunkInterval = 2, time.Hour })
		s.change(Configuration, func() { s.version = 2 })
		relay := func(tenths int) {
			for range tenths {
				f.ObservePeer(PeerState{Version: 2, NotForwarded: true})
				time.Sleep(100 * time.Millisecond)
			}
		}
		relay(16)
		s.set(func() { s.chunks = 0 })
		relay(10)
		assert.Equal(t, f.version(), uint64(2))
	})
}

func TestConfigurationChangesAreForwardedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		sender := startFollowerWithRole(t, s, role{confirms: true, forwardsChanges: true})
		receiver := startFollowerWithRole(t, newFakeStore(), role{hasForwarder: true})
		third := startFollowerWithRole(t, newFakeStore(), role{hasForwarder: true})
		deliverReports(sender, receiver, 2)
		s.change(Configuration, func() { s.version = 2 })
		deliverReports(sender, receiver, 5)
		changes, document := receiver.ConfigurationSince(1)
		assert.Assert(t, len(changes) == 1 && document == nil)
		third.ApplyConfigurationChanges("other", changes)
		assert.Equal(t, third.version(), uint64(2))
		third.ApplyConfigurationChanges("other", changes)
		assert.Equal(t, third.version(), uint64(2), "the same change received twice")
		changes, _ = receiver.ConfigurationSince(7)
		assert.Equal(t, len(changes), 0, "changes since an unknown version")
	})
}

func TestInapplicableConfigurationChangeIsRejectedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFollowerWithRole(t, newFakeStore(), role{confirms: true})
		for range 3 {
			f.ApplyConfigurationChanges("peer", []*routetable.Change{{From: 1, To: 2, Digest: 5}})
		}
		assert.Equal(t, f.version(), uint64(1))
		assert.Equal(t, f.rejected.Get(), uint64(1), "once")
	})
}

func TestBehindCountsFromFirstReportOfLaterConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		f := startFollowerWithRole(t, s, role{hasForwarder: true})
		s.set(func() { s.down = true })
		f.ObservePeer(PeerState{Version: 1})
		assert.Equal(t, f.Behind(f.deps.Clock()), time.Duration(0))
		for range 20 {
			f.ObservePeer(PeerState{Version: 5})
			time.Sleep(100 * time.Millisecond)
		}
		assert.Equal(t, f.Behind(f.deps.Clock()), 2*time.Second)
		f.ApplyConfiguration("peer", 5, documentOf(5))
		assert.Equal(t, f.Behind(f.deps.Clock()), time.Duration(0))
	})
}
