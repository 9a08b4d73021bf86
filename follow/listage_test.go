package follow

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func (f *Follower) listAge() time.Duration { return f.EndpointsAge(f.deps.Clock()) }

func TestListWithoutChangesIsConfirmedByOtherAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		f := startFollower(t, s, true)
		for range 40 {
			time.Sleep(500 * time.Millisecond)
			assert.Assert(t, f.listAge() <= 2*confirmingWatchWait, "age %v", f.listAge())
		}
	})
}

func TestPeersConfirmList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		f := startFollower(t, s, false)
		time.Sleep(3 * time.Second)
		now, before := f.deps.Clock(), f.listAge()
		known, last := f.Revision(Endpoints)
		f.ObservePeer(PeerState{Version: 1, Endpoints: known + 1, EndpointsConfirmed: now})
		assert.Equal(t, f.listAge(), before, "the peer knows a later change")
		f.ObservePeer(PeerState{Version: 1, Endpoints: last, EndpointsConfirmed: now})
		assert.Equal(t, f.listAge(), time.Duration(0))
		f.ObservePeer(PeerState{Version: 1, Endpoints: last})
		assert.Equal(t, f.listAge(), time.Duration(0), "a peer of an earlier program states no time")
	})
}

// Guards against a list counting as confirmed at a time by which it had changed.
func TestListIsNotConfirmedByLaterRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		f := startFollower(t, s, true)
		time.Sleep(4 * time.Second)
		before := f.listAge()
		assert.Assert(t, before > 0)
		f.feeds[Configuration].recordProgress(Change{Revision: 9}, f.deps.Clock())
		assert.Equal(t, f.listAge(), before)
		assert.Equal(t, f.StoreRevision(), Revision(9))
	})
}

func TestChangeOfConfigurationAloneLeavesListConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		f := startFollower(t, s, true)
		s.change(Configuration, func() { s.version = 2 })
		synctest.Wait()
		known, _ := f.Revision(Endpoints)
		assert.Equal(t, known, Revision(2))
		assert.Equal(t, f.StoreRevision(), Revision(2))
	})
}
