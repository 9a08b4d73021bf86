package ledger

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A message delayed until its claim or epoch has passed changes nothing.
func TestDelayedMessagesAreIgnored(t *testing.T) {
	inCluster(t, 3, func(t *testing.T, c *cluster) {
		home, other, k := c.nodes[nodeName(0)], c.nodes[nodeName(1)], c.keyAt(nodeName(0))
		first := other.mustClaim(t, k)
		assert.NilError(t, other.Release(t.Context(), first))
		second := other.mustClaim(t, k)
		epoch, hash := home.epoch(), hashKey(k)
		stateAt := func(n *testNode) State {
			rec, _ := n.records.get(hash)
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
		c.waitSettled()
		third := c.nodes[nodeName(2)]
		assert.Equal(t, third.serveMirror(t.Context(), home.member, copyOf).Status, statusStale)
		assert.Equal(t, stateAt(third), State(0))

		time.Sleep(DefaultFenceTimeout + time.Second)
		c.isolate(nodeName(0))
		time.Sleep(DefaultFenceTimeout + time.Second)
		for _, n := range c.nodes {
			home.noteConfirmed(n.member, home.epoch(), time.Now().Add(-DefaultFenceTimeout-time.Second))
		}
		assert.Assert(t, home.Dump().Fenced)
	})
}

// A commit whose reply was lost in a crash of the home is withdrawn: its holder never
// dispatched it, and the second copy alone does not bind the key.
func TestUnacknowledgedCommitIsWithdrawn(t *testing.T) {
	inCluster(t, 5, func(t *testing.T, c *cluster) {
		far, k := c.start("far", "catania"), c.keyAt(nodeName(0))
		holders := []*testNode{c.nodes[nodeName(1)], far}
		for _, holder := range holders {
			claim := holder.mustClaim(t, k)
			c.network.DropNextReplies(nodeName(0), holder.member.Node, methodCommit, 1)
			result := make(chan error)
			go func() { result <- holder.commit(claim) }()
			time.Sleep(10 * time.Millisecond)
			c.crash(nodeName(0))
			assert.ErrorIs(t, <-result, ErrUnknown)
			c.remove(nodeName(0))
			c.waitSettled()
			again, err := c.nodes[nodeName(2)].Claim(t.Context(), k, Fingerprint{1})
			assert.NilError(t, err)
			if again.Verdict == VerdictAttached {
				time.Sleep(DefaultHolderCheckAge)
				again = c.nodes[nodeName(2)].mustClaim(t, k)
			}
			assert.NilError(t, c.nodes[nodeName(2)].Release(t.Context(), again))
			c.start(nodeName(0), testDataCentre)
			c.waitSettled()
		}
	})
}

func TestMergeKeepsNewerState(t *testing.T) {
	entryOf := func(claim ClaimID, state State) entry { return entry{Claim: claim, State: state} }
	for _, test := range []struct {
		name         string
		first, other entry
		want         entry
	}{
		{"a commit replaces its claim", entryOf(1, StateClaimed), entryOf(1, StateCommitted), entryOf(1, StateCommitted)},
		{"an end replaces its commit", entryOf(1, StateFinished), entryOf(1, StateCommitted), entryOf(1, StateFinished)},
		{"a withdrawal replaces its commit", entryOf(1, StateCommitted), entryOf(1, stateWithdrawn), entryOf(1, stateWithdrawn)},
		{"a later claim replaces a withdrawn one", entryOf(1, stateWithdrawn), entryOf(2, StateCommitted), entryOf(2, StateCommitted)},
		{"a later claim replaces an unused commit", entryOf(2, StateClaimed), entryOf(1, StateCommitted), entryOf(2, StateClaimed)},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Now()
			for _, both := range [][2]entry{{test.first, test.other}, {test.other, test.first}} {
				b := newRecordSet(now, time.Minute)
				b.merge(both[0], now)
				b.merge(both[1], now)
				rec, _ := b.get(KeyHash{})
				assert.Equal(t, entryOf(rec.claim, rec.state), test.want)
			}
		})
	}
}

// An incarnation that departs twice, the first time removed by mistake, has its loss
// dated from the second departure.
func TestAgeIsTrackedPerDeparture(t *testing.T) {
	start, member := time.Now(), TableMember{}
	table := &Table{Departed: []Departure{{TableMember: member, Removed: 2, Lost: true}}}
	var counter DepartureAges
	counter.Apply(table, start)
	table.Departed = append(table.Departed, Departure{TableMember: member, Removed: 4, Lost: true})
	counter.Apply(table, start.Add(time.Hour))
	assert.Equal(t, table.Departed[0].Age, time.Hour)
	assert.Equal(t, table.Departed[1].Age, time.Duration(0))
	assert.Equal(t, Options{}.LossWindow(), DefaultRetention+2*DefaultFenceTimeout)
}

// Records are merged by claim ID, so a later home must give a greater one.
func TestLaterHomesIssueGreaterClaimIDs(t *testing.T) {
	inCluster(t, 3, func(t *testing.T, c *cluster) {
		k := c.keyAt(nodeName(0))
		for range 10 {
			c.nodes[nodeName(1)].mustClaim(t, c.keyAt(nodeName(0)))
		}
		first := c.nodes[nodeName(1)].mustClaim(t, k)
		assert.NilError(t, c.nodes[nodeName(1)].Release(t.Context(), first))
		c.crash(nodeName(0))
		c.remove(nodeName(0))
		c.waitSettled()
		assert.Assert(t, c.nodes[nodeName(1)].mustClaim(t, k).ID > first.ID)
	})
}
