package follow

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/directory"
	"hawthornrill.example/hawthornrill/domain"
)

func (f *Follower) lists(id domain.EndpointID) bool {
	return f.deps.Directory.Current().Endpoint(id) != nil
}

// version returns the configuration version, 0 before the first.
func (f *Follower) version() uint64 {
	if table := f.Table(); table != nil {
		return table.Version
	}
	return 0
}

// deliverReports delivers the sender's reports to the receiver for the given number of tenths of a second.
func deliverReports(from, to *Follower, tenths int) {
	for range tenths {
		time.Sleep(100 * time.Millisecond)
		changes, reliable := from.EndpointChanges()
		if reliable {
			to.ApplyEndpointChanges(changes)
		}
		_, last := from.Revision(Endpoints)
		version := from.Table().Version
		if changes, document := from.ConfigurationSince(to.version()); len(changes) > 0 {
			to.ApplyConfigurationChanges("one", changes)
		} else {
			to.ApplyConfiguration("one", version, document)
		}
		to.ObservePeer(PeerState{Version: version, Endpoints: last, Confirmed: to.deps.Clock(), Store: from.StoreAvailability()})
	}
}

// forwardingPair returns a forwarder that follows store s, and a receiver in a fleet of the given size that has its own
// store and has started to rely on the forwarder.
func forwardingPair(t *testing.T, nodes int) (s, receiverStore *fakeStore, sender, receiver *Follower) {
	s, receiverStore = newFakeStore(), newFakeStore()
	sender = startFollowerWithRole(t, s, role{confirms: true, forwardsChanges: true})
	receiver = startFollowerWithRole(t, receiverStore, role{hasForwarder: true, nodes: nodes})
	deliverReports(sender, receiver, 5)
	return s, receiverStore, sender, receiver
}

func TestForwardedEndpointChangesNeedNoStoreCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, receiverStore, sender, receiver := forwardingPair(t, 3)
		before := receiverStore.callCount()
		s.change(Endpoints, func() { s.endpoints = map[string]bool{"b": true} })
		deliverReports(sender, receiver, 5)
		assert.Assert(t, receiver.lists("b") && !receiver.lists("a"))
		s.change(Endpoints, func() { s.endpoints = map[string]bool{"b": true, "c": true} })
		deliverReports(sender, receiver, 100)
		assert.Assert(t, receiver.lists("c"))
		assert.Equal(t, receiverStore.callCount(), before, "store called")
	})
}

// Peers elsewhere report each change a little earlier than the forwarder sends it. That must not cause a store call.
func TestTimelyForwardedChangesCauseNoStoreCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, receiverStore, sender, receiver := forwardingPair(t, 69)
		before := receiverStore.callCount()
		for revision := Revision(2); revision < 22; revision++ {
			s.change(Endpoints, func() {})
			for range 3 {
				receiver.ObservePeer(PeerState{Version: 1, Endpoints: revision, Confirmed: receiver.deps.Clock()})
				time.Sleep(100 * time.Millisecond)
			}
			deliverReports(sender, receiver, 12)
		}
		assert.Equal(t, receiverStore.callCount(), before, "store called")
	})
}

func TestMissedChangeIsReadFromStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		sender := startFollowerWithRole(t, s, role{confirms: true, forwardsChanges: true})
		receiver := startFollowerWithRole(t, s, role{hasForwarder: true})
		deliverReports(sender, receiver, 5)
		s.change(Endpoints, func() { s.endpoints = map[string]bool{"b": true} })
		time.Sleep(forwardDuration + time.Second) // no report with the change arrives
		s.change(Endpoints, func() { s.endpoints = map[string]bool{"b": true, "c": true} })
		deliverReports(sender, receiver, 5)
		assert.Assert(t, receiver.lists("b") && receiver.lists("c") && !receiver.lists("a"))
	})
}

func TestNonContiguousChangeIsNotApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		receiver := startFollowerWithRole(t, s, role{hasForwarder: true})
		before := s.callCount()
		receiver.ApplyEndpointChanges([]directory.Change{{After: 5, Last: 9, Revision: 9, Listed: []*directory.Endpoint{{ID: "c", Service: "s"}}}})
		known, _ := receiver.Revision(Endpoints)
		assert.Equal(t, known, Revision(1), "earlier changes would be lost")
		assert.Assert(t, !receiver.lists("c"))
		time.Sleep(2 * monitorInterval)
		assert.Assert(t, s.callCount() > before, "store not called")
	})
}

func TestStaleStoreResponseIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		receiver := startFollowerWithRole(t, newFakeStore(), role{hasForwarder: true})
		leaving := &directory.Endpoint{ID: "a", Service: "s", Leaving: true}
		receiver.ApplyEndpointChanges([]directory.Change{{After: 1, Last: 9, Revision: 9, Listed: []*directory.Endpoint{leaving}}})
		stays := &directory.Endpoint{ID: "a", Service: "s"}
		receiver.feeds[Endpoints].apply(Change{Revision: 5, Last: 5, Endpoints: []*directory.Endpoint{stays}}, 0)
		assert.Assert(t, receiver.deps.Directory.Current().Endpoint("a").Leaving)
		receiver.ApplyEndpointChanges([]directory.Change{{After: 1, Last: 7, Revision: 7, Listed: []*directory.Endpoint{stays}}})
		assert.Assert(t, receiver.deps.Directory.Current().Endpoint("a").Leaving, "an outdated report is ignored as well")
	})
}

func TestForwarderWithoutStoreIsNotReliable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		sender := startFollowerWithRole(t, s, role{confirms: true, forwardsChanges: true})
		time.Sleep(time.Second)
		_, reliable := sender.EndpointChanges()
		assert.Assert(t, reliable)
		s.set(func() { s.unresponsive = true })
		time.Sleep(2*confirmingWatchWait + 2*watchTimeoutMargin)
		_, reliable = sender.EndpointChanges()
		assert.Assert(t, !reliable, "the watch has not been answered")
	})
}

func TestForwardedRemovalAfterOutageIsRetained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		sender := startFollowerWithRole(t, s, role{confirms: true, forwardsChanges: true})
		receiver := startFollowerWithRole(t, newFakeStore(), role{hasForwarder: true})
		deliverReports(sender, receiver, 5)
		s.change(Endpoints, func() { s.down = true; s.endpoints = map[string]bool{} })
		time.Sleep(3 * time.Second)
		s.set(func() { s.down = false })
		deliverReports(sender, receiver, 12)
		assert.Assert(t, receiver.lists("a"))
		deliverReports(sender, receiver, 30)
		assert.Assert(t, !receiver.lists("a"))
	})
}

// A node that applied forwarded changes and then becomes the forwarder must base its changes on the last one applied:
// a receiver that missed that one must query the store.
func TestNewForwarderContinuesFromAppliedChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		receiver := startFollowerWithRole(t, newFakeStore(), role{forwardsChanges: true})
		d := receiver.feeds[Endpoints]
		receiver.ApplyEndpointChanges([]directory.Change{{After: 1, Last: 9, Revision: 9, Removed: []domain.EndpointID{"a"}}})
		d.apply(Change{Revision: 12, Last: 12, Endpoints: []*directory.Endpoint{{ID: "b", Service: "s"}}}, 0)
		changes, _ := receiver.EndpointChanges()
		assert.Equal(t, len(changes), 1)
		assert.Equal(t, changes[0].After, uint64(9))
	})
}

func TestUnusableEntryIsRemovedAndForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, receiverStore, sender, receiver := forwardingPair(t, 3)
		before := receiverStore.callCount()
		s.change(Endpoints, func() { s.unusable = []domain.EndpointID{"a"} })
		deliverReports(sender, receiver, 5)
		assert.Assert(t, !sender.lists("a") && !receiver.lists("a"))
		assert.Equal(t, sender.rejected.Get(), uint64(1))
		s.change(Endpoints, func() { s.unusable = nil })
		deliverReports(sender, receiver, 5)
		assert.Assert(t, sender.lists("a") && receiver.lists("a"), "a usable entry lists the endpoint again")
		assert.Equal(t, receiverStore.callCount(), before)
	})
}
