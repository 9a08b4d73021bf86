package follow

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/directory"
	"hawthornrill.example/hawthornrill/domain"
)

// knows reports whether a follower lists the endpoint.
func (f *Follower) knows(id domain.EndpointID) bool {
	return f.parts.Directory.Current().Endpoint(id) != nil
}

// version is the configuration's, 0 before the first.
func (f *Follower) version() uint64 {
	if table := f.Table(); table != nil {
		return table.Version
	}
	return 0
}

// tell carries the sender's reports to the receiver for so many tenths of a second.
func tell(from, to *Follower, tenths int) {
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
		to.ObservePeer(PeerState{Version: version, Endpoints: last, Confirmed: to.parts.Clock()})
	}
}

// passingPair returns a follower of the first store that passes on what it learns to another, in a fleet of so many nodes,
// that has its own store and has begun to rely on it.
func passingPair(t *testing.T, nodes int) (s, unused *fakeStore, one, other *Follower) {
	s, unused = newFakeStore(), newFakeStore()
	one = roleFollower(t, s, role{confirms: true, passesOn: true})
	other = roleFollower(t, unused, role{passedOn: true, nodes: nodes})
	tell(one, other, 5)
	return s, unused, one, other
}

func TestChangesArePassedOnWithoutCallsToTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, unused, one, other := passingPair(t, 3)
		before := unused.asked()
		s.change(Endpoints, func() { s.endpoints = map[string]bool{"b": true} })
		tell(one, other, 5)
		assert.Assert(t, other.knows("b") && !other.knows("a"))
		s.change(Endpoints, func() { s.endpoints = map[string]bool{"b": true, "c": true} })
		tell(one, other, 100)
		assert.Assert(t, other.knows("c"))
		assert.Equal(t, unused.asked(), before, "the store was asked")
	})
}

// Of each change peers elsewhere know a little earlier; that is no reason to ask.
func TestChangesThatArriveInTimeAreNotAskedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, unused, one, other := passingPair(t, 69)
		before := unused.asked()
		for revision := Revision(2); revision < 22; revision++ {
			s.change(Endpoints, func() {})
			for range 3 {
				other.ObservePeer(PeerState{Version: 1, Endpoints: revision, Confirmed: other.parts.Clock()})
				time.Sleep(100 * time.Millisecond)
			}
			tell(one, other, 12)
		}
		assert.Equal(t, unused.asked(), before, "the store was asked")
	})
}

func TestMissedChangeIsAskedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		one := roleFollower(t, s, role{confirms: true, passesOn: true})
		other := roleFollower(t, s, role{passedOn: true})
		tell(one, other, 5)
		s.change(Endpoints, func() { s.endpoints = map[string]bool{"b": true} })
		time.Sleep(passOnFor + time.Second) // no report of it arrives
		s.change(Endpoints, func() { s.endpoints = map[string]bool{"b": true, "c": true} })
		tell(one, other, 5)
		assert.Assert(t, other.knows("b") && other.knows("c") && !other.knows("a"))
	})
}

func TestChangeThatDoesNotFollowOnWhatIsKnownIsNotTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		other := roleFollower(t, s, role{passedOn: true})
		before := s.asked()
		other.ApplyEndpointChanges([]directory.Change{{After: 5, Last: 9, Revision: 9, Listed: []*directory.Endpoint{{ID: "c", Service: "s"}}}})
		known, _ := other.Revision(Endpoints)
		assert.Equal(t, known, Revision(1), "what happened before it would be lost")
		assert.Assert(t, !other.knows("c"))
		time.Sleep(2 * lookEvery)
		assert.Assert(t, s.asked() > before, "the store was not asked")
	})
}

func TestStoreAnswerOlderThanWhatWasPassedOnIsLeftAside(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		other := roleFollower(t, newFakeStore(), role{passedOn: true})
		leaving := &directory.Endpoint{ID: "a", Service: "s", Leaving: true}
		other.ApplyEndpointChanges([]directory.Change{{After: 1, Last: 9, Revision: 9, Listed: []*directory.Endpoint{leaving}}})
		stays := &directory.Endpoint{ID: "a", Service: "s"}
		other.feeds[Endpoints].apply(Change{Revision: 5, Last: 5, Endpoints: []*directory.Endpoint{stays}}, 0)
		assert.Assert(t, other.parts.Directory.Current().Endpoint("a").Leaving)
		other.ApplyEndpointChanges([]directory.Change{{After: 1, Last: 7, Revision: 7, Listed: []*directory.Endpoint{stays}}})
		assert.Assert(t, other.parts.Directory.Current().Endpoint("a").Leaving, "an old report changes nothing either")
	})
}

func TestNodeThatLosesTheStoreIsNotReliedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		one := roleFollower(t, s, role{confirms: true, passesOn: true})
		time.Sleep(time.Second)
		_, reliable := one.EndpointChanges()
		assert.Assert(t, reliable)
		s.set(func() { s.deaf = true })
		time.Sleep(2*confirmWait + 2*watchSlack)
		_, reliable = one.EndpointChanges()
		assert.Assert(t, !reliable, "its watch has not been answered")
	})
}

func TestEntriesThatLapsedWithTheStoreAreKeptByThoseToldToo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		one := roleFollower(t, s, role{confirms: true, passesOn: true})
		other := roleFollower(t, newFakeStore(), role{passedOn: true})
		tell(one, other, 5)
		s.change(Endpoints, func() { s.down = true; s.endpoints = map[string]bool{} })
		time.Sleep(3 * time.Second)
		s.set(func() { s.down = false })
		tell(one, other, 12)
		assert.Assert(t, other.knows("a"))
		tell(one, other, 30)
		assert.Assert(t, !other.knows("a"))
	})
}

// A node that has taken changes from a peer and then passes changes on itself tells them as following on the last one
// taken: who missed that one must ask the store.
func TestSuccessorTellsOfChangesAfterThoseItTook(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		other := roleFollower(t, newFakeStore(), role{passesOn: true})
		d := other.feeds[Endpoints]
		other.ApplyEndpointChanges([]directory.Change{{After: 1, Last: 9, Revision: 9, Removed: []domain.EndpointID{"a"}}})
		d.apply(Change{Revision: 12, Last: 12, Endpoints: []*directory.Endpoint{{ID: "b", Service: "s"}}}, 0)
		changes, _ := other.EndpointChanges()
		assert.Equal(t, len(changes), 1)
		assert.Equal(t, changes[0].After, uint64(9))
	})
}

func TestUnusableEntryIsOutAtOnceAndPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, unused, one, other := passingPair(t, 3)
		before := unused.asked()
		s.change(Endpoints, func() { s.unusable = []domain.EndpointID{"a"} })
		tell(one, other, 5)
		assert.Assert(t, !one.knows("a") && !other.knows("a"))
		assert.Equal(t, one.rejected.Get(), uint64(1))
		s.change(Endpoints, func() { s.unusable = nil })
		tell(one, other, 5)
		assert.Assert(t, one.knows("a") && other.knows("a"), "an entry that can be used names it again")
		assert.Equal(t, unused.asked(), before)
	})
}
