package ledger

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A message that was long on its way changes nothing.
func TestLateMessages(t *testing.T) {
	inCluster(t, 3, func(t *testing.T, c *cluster) {
		home, other, k := c.nodes[nodeName(0)], c.nodes[nodeName(1)], c.keyAt(nodeName(0))
		first := other.grant(t, k)
		assert.NilError(t, other.Release(t.Context(), first))
		second := other.grant(t, k)
		epoch, hash := home.epoch(), hashKey(k)
		stateAt := func(n *testNode) State {
			rec, _ := n.book.get(hash)
			return rec.state
		}
		late := commitRequest{Key: hash, Claim: first.ID, Endpoint: "runner-1", Epoch: epoch, Copied: true}
		assert.Equal(t, home.serveCommit(t.Context(), other.member, late).Status, statusRevoked)
		assert.Equal(t, stateAt(home), StateClaimed)
		release := endRequest{Key: hash, Claim: first.ID, Epoch: epoch}
		assert.Equal(t, home.serveRelease(t.Context(), other.member, release).Status, statusRevoked)
		assert.Equal(t, stateAt(home), StateClaimed)

		copyOf := mirrorRequest{epoch, []entry{{Key: hash, Claim: second.ID, State: StateCommitted, Holder: other.member}}}
		c.start(nodeName(8), testDataCentre)
		c.settle()
		third := c.nodes[nodeName(2)]
		assert.Equal(t, third.serveMirror(t.Context(), home.member, copyOf).Status, statusStale)
		assert.Equal(t, stateAt(third), State(0))

		time.Sleep(DefaultFenceTimeout + time.Second)
		c.isolate(nodeName(0))
		time.Sleep(DefaultFenceTimeout + time.Second)
		for _, n := range c.nodes {
			home.hear(n.member, home.epoch(), time.Now().Add(-DefaultFenceTimeout-time.Second))
		}
		assert.Assert(t, home.Dump().Fenced)
	})
}

// A commit whose reply was lost with the home is taken back: its holder never
// dispatched it, and the second copy alone does not bind the key.
func TestUnusedCommitIsTakenBack(t *testing.T) {
	inCluster(t, 5, func(t *testing.T, c *cluster) {
		far, k := c.start("far", "catania"), c.keyAt(nodeName(0))
		holders := []*testNode{c.nodes[nodeName(1)], far}
		for _, holder := range holders {
			claim := holder.grant(t, k)
			c.network.DropNextReplies(nodeName(0), holder.member.Node, methodCommit, 1)
			result := make(chan error)
			go func() { result <- holder.commit(claim) }()
			time.Sleep(10 * time.Millisecond)
			c.crash(nodeName(0))
			assert.ErrorIs(t, <-result, ErrUnknown)
			c.remove(nodeName(0))
			c.settle()
			again, err := c.nodes[nodeName(2)].Claim(t.Context(), k, Fingerprint{1})
			assert.NilError(t, err)
			if again.Verdict == VerdictAttached {
				time.Sleep(DefaultHolderCheckAge)
				again = c.nodes[nodeName(2)].grant(t, k)
			}
			assert.NilError(t, c.nodes[nodeName(2)].Release(t.Context(), again))
			c.start(nodeName(0), testDataCentre)
			c.settle()
		}
	})
}

func TestMergeKeepsWhatTellsMore(t *testing.T) {
	entryOf := func(claim ClaimID, state State) entry { return entry{Claim: claim, State: state} }
	for _, test := range []struct {
		name         string
		first, other entry
		want         entry
	}{
		{"a commit tells more than its claim", entryOf(1, StateClaimed), entryOf(1, StateCommitted), entryOf(1, StateCommitted)},
		{"an end tells more than a commit", entryOf(1, StateFinished), entryOf(1, StateCommitted), entryOf(1, StateFinished)},
		{"the holder's word outranks a copy", entryOf(1, StateCommitted), entryOf(1, stateWithdrawn), entryOf(1, stateWithdrawn)},
		{"a later claim follows a withdrawn one", entryOf(1, stateWithdrawn), entryOf(2, StateCommitted), entryOf(2, StateCommitted)},
		{"an unused commit does not outlive a later claim", entryOf(2, StateClaimed), entryOf(1, StateCommitted), entryOf(2, StateClaimed)},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Now()
			for _, both := range [][2]entry{{test.first, test.other}, {test.other, test.first}} {
				b := newBook(now, time.Minute)
				b.merge(both[0], now)
				b.merge(both[1], now)
				rec, _ := b.get(KeyHash{})
				assert.Equal(t, entryOf(rec.claim, rec.state), test.want)
			}
		})
	}
}

// A life that departs twice, taken out by mistake the first time, is as young a
// loss as its second departure.
func TestAgesAreOfDepartures(t *testing.T) {
	start, life := time.Now(), TableMember{}
	table := &Table{Departed: []Departure{{TableMember: life, Removed: 2, Lost: true}}}
	var counter DepartureAges
	counter.Apply(table, start)
	table.Departed = append(table.Departed, Departure{TableMember: life, Removed: 4, Lost: true})
	counter.Apply(table, start.Add(time.Hour))
	assert.Equal(t, table.Departed[0].Age, time.Hour)
	assert.Equal(t, table.Departed[1].Age, time.Duration(0))
	assert.Equal(t, Options{}.LossWindow(), DefaultRetention+2*DefaultFenceTimeout)
}

// Records are merged by their claims, so a later home must give a greater one.
func TestLaterHomesGiveGreaterClaims(t *testing.T) {
	inCluster(t, 3, func(t *testing.T, c *cluster) {
		k := c.keyAt(nodeName(0))
		for range 10 {
			c.nodes[nodeName(1)].grant(t, c.keyAt(nodeName(0)))
		}
		first := c.nodes[nodeName(1)].grant(t, k)
		assert.NilError(t, c.nodes[nodeName(1)].Release(t.Context(), first))
		c.crash(nodeName(0))
		c.remove(nodeName(0))
		c.settle()
		assert.Assert(t, c.nodes[nodeName(1)].grant(t, k).ID > first.ID)
	})
}
