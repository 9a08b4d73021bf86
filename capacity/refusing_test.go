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

// refusingTransport fails every call at once, as a link does whose other end has
// gone.
type refusingTransport struct {
	peer.Transport
	calls atomic.Int64
}

// mostCalls is more than a patient node makes in the test. Without a pause between
// calls virtual time would stand still for ever.
const mostCalls = 1000

func (r *refusingTransport) Call(context.Context, domain.Member, peer.Method, []byte) ([]byte, error) {
	if r.calls.Add(1) > mostCalls {
		panic("an owner that can't be reached is asked again without a pause")
	}
	return nil, peer.ErrNotSent
}

// Calls that fail at once are not repeated at once.
func TestCallsThatFailAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := peertest.NewNetwork()
		defer network.Close()
		here := &members{}
		lives := []domain.Member{
			{Node: "a1", Incarnation: 1, DataCentre: "a"},
			{Node: "a2", Incarnation: 1, DataCentre: "a"},
		}
		owner := rendezvous(groupName(quotePool), lives)
		self := lives[0]
		if owner.SameIncarnation(self) {
			self = lives[1]
		}
		here.current.Store(&membership.Snapshot{Self: self, Peers: []membership.Peer{{Member: lives[0]}, {Member: lives[1]}}})
		view := &config.StaticView{}
		view.Set(testSnapshot([]config.EndpointRow{engine("ea", "a", 1, "quote")}))
		transport := &refusingTransport{Transport: network.Node(self)}
		s := New(Options{Transport: transport, Membership: here, Config: view})
		first, _ := s.current().owner("a", quotePool)
		assert.Equal(t, first.Node, owner.Node)
		defer s.stop()

		hurried := ask(1)
		hurried.Deadline = 3 * time.Second
		began := time.Now()
		_, err := s.Acquire(t.Context(), hurried)
		assert.ErrorIs(t, err, ErrDeadline)
		assert.Equal(t, time.Since(began), hurried.Deadline)
	})
}
