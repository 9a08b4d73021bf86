package capacity

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/membership"
	"hawthornrill.example/hawthornrill/peer"
	"hawthornrill.example/hawthornrill/peer/peertest"
)

// failingTransport fails every call immediately, like a link whose other end has gone.
type failingTransport struct {
	peer.Transport
	calls atomic.Int64
}

// maxCalls is more than a node makes in the test when it pauses between calls. Without
// a pause virtual time would never advance.
const maxCalls = 1000

func (r *failingTransport) Call(context.Context, domain.Member, peer.Method, []byte) ([]byte, error) {
	if r.calls.Add(1) > maxCalls {
		panic("an unreachable owner is called again without a pause")
	}
	return nil, peer.ErrNotSent
}

// Calls that fail immediately must not be repeated without a pause.
func TestFailedCallsAreNotRetriedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := peertest.NewNetwork()
		defer network.Close()
		memberView := &staticMembers{}
		incarnations := []domain.Member{
			{Node: "a1", Incarnation: 1, DataCentre: "a"},
			{Node: "a2", Incarnation: 1, DataCentre: "a"},
		}
		owner := rendezvous(poolGroup(quotePool), incarnations)
		self := incarnations[0]
		if owner.SameIncarnation(self) {
			self = incarnations[1]
		}
		memberView.current.Store(&membership.Snapshot{Self: self, Peers: []membership.Peer{{Member: incarnations[0]}, {Member: incarnations[1]}}})
		view := &config.StaticView{}
		view.Set(testSnapshot([]config.EndpointRow{engine("ea", "a", 1, "quote")}))
		transport := &failingTransport{Transport: network.Node(self)}
		s := New(Options{Transport: transport, Membership: memberView, Config: view})
		first, _ := s.currentLayout().owner("a", quotePool)
		assert.Equal(t, first.Node, owner.Node)
		defer s.stop()

		request := newRequest(1)
		request.Deadline = 3 * time.Second
		started := time.Now()
		_, err := s.Acquire(t.Context(), request)
		assert.ErrorIs(t, err, ErrDeadline)
		assert.Equal(t, time.Since(started), request.Deadline)
	})
}
