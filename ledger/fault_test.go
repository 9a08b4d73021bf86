package ledger

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
	"hawthornrill.example/hawthornrill/peer/peertest"
)

// mustClaim claims a key that must be free.
func (n *testNode) mustClaim(t *testing.T, k domain.RequestKey) Claim {
	t.Helper()
	claim, err := n.Claim(t.Context(), k, Fingerprint{1})
	assert.NilError(t, err)
	assert.Equal(t, claim.Verdict, VerdictGranted)
	return claim
}

// mustClaimAndRelease claims a key that must be free and releases it.
func (n *testNode) mustClaimAndRelease(t *testing.T, k domain.RequestKey) {
	t.Helper()
	claim := n.mustClaim(t, k)
	calledAt := time.Now()
	assert.NilError(t, n.Release(t.Context(), claim))
	n.cluster.invariants.reportedNotRun(k, n.member, calledAt)
}

// verdict claims a key and returns the home's verdict.
func (n *testNode) verdict(t *testing.T, k domain.RequestKey) Verdict {
	t.Helper()
	claim, err := n.Claim(t.Context(), k, Fingerprint{1})
	assert.NilError(t, err)
	return claim.Verdict
}

// keyBetween returns a key whose home is first and, without it, second.
func (c *cluster) keyBetween(first, second domain.NodeID) domain.RequestKey {
	for {
		k := c.keyAt(first)
		if ranked(c.latest().candidates(), hashKey(k))[1].Node == second {
			return k
		}
	}
}

func TestGracefulRestartLosesNothing(t *testing.T) {
	inCluster(t, 7, func(t *testing.T, c *cluster) {
		outside := c.start("far", "catania")
		kept := c.keyAt(nodeName(0))
		claim, err := outside.dispatch(kept)
		assert.NilError(t, err)
		assert.NilError(t, outside.Finish(t.Context(), claim, true))
		for i := range 7 {
			c.leave(nodeName(i))
			c.start(nodeName(i), testDataCentre)
			c.waitSettled()
			assert.Equal(t, c.anyExcept(nodeName(i)).verdict(t, kept), VerdictFinished)
			c.nodes[nodeName(i)].mustClaim(t, key(-1-i))
		}
	})
}

func TestCrashRestartLosesNothing(t *testing.T) {
	inCluster(t, 7, func(t *testing.T, c *cluster) {
		committed := c.keyAt(nodeName(0))
		_, err := c.nodes[nodeName(1)].dispatch(committed)
		assert.NilError(t, err)
		for i := range 7 {
			c.crash(nodeName(i))
			c.start(nodeName(i), testDataCentre)
			c.waitSettled()
			assert.Assert(t, c.nodes[nodeName(i)].verdict(t, committed) != VerdictGranted)
			c.nodes[nodeName(i)].mustClaim(t, key(-1-i))
		}
	})
}

// When two members are lost before second copies have been made again, exactly the keys
// that both may have held are uncertain, for as long as a lost record would have been
// kept.
func TestTwoMembersLostAtOnce(t *testing.T) {
	inCluster(t, 7, func(t *testing.T, c *cluster) {
		a, b := nodeName(0), nodeName(1)
		lost, other := c.keyAt(a), c.keyAt(nodeName(2))
		_, err := c.nodes[b].dispatch(lost)
		assert.NilError(t, err)
		c.crash(a)
		c.crash(b)
		c.edit(c.nodes[nodeName(3)], Remove(c.nodes[a].member))
		c.edit(c.nodes[nodeName(3)], Remove(c.nodes[b].member))
		c.waitSettled()
		n := c.nodes[nodeName(3)]
		n.mustClaim(t, other)
		time.Sleep(DefaultRetention)
		_, err = n.dispatch(lost)
		assert.ErrorIs(t, err, ErrUnknown)
		time.Sleep(2*DefaultFenceTimeout + time.Second)
		n.mustClaim(t, lost)
	})
}

// A paused holder commits after its claim was revoked and another attempt was informed
// that the request was not run: the commit must be refused.
func TestPausedHolderCommitsAfterRevocation(t *testing.T) {
	inCluster(t, 5, func(t *testing.T, c *cluster) {
		holder, k := c.nodes[nodeName(1)], c.keyAt(nodeName(0))
		claim := holder.mustClaim(t, k)
		c.network.Pause(nodeName(1))
		c.holdTables(nodeName(1))
		c.remove(nodeName(1))
		c.waitSettled()
		c.nodes[nodeName(2)].mustClaimAndRelease(t, k)
		_, err := c.nodes[nodeName(2)].dispatch(k)
		assert.NilError(t, err)
		c.network.Resume(nodeName(1))
		assert.ErrorIs(t, holder.commit(claim), ErrRevoked)
	})
}

// The home pauses after recording the commit and before replying: the holder withdraws
// the commit, and the key can be claimed again.
func TestHomePausedBetweenCommitAndReply(t *testing.T) {
	inCluster(t, 5, func(t *testing.T, c *cluster) {
		holder, k := c.nodes[nodeName(1)], c.keyAt(nodeName(0))
		claim := holder.mustClaim(t, k)
		c.network.Intercept(func(from, to domain.NodeID, method peer.Method, reply bool) peertest.Action {
			if method == methodCommit && reply {
				return peertest.Action{Delay: 10 * time.Second}
			}
			return peertest.Action{}
		})
		assert.ErrorIs(t, holder.commit(claim), ErrRevoked)
		c.network.Intercept(nil)
		again, err := c.nodes[nodeName(2)].dispatch(k)
		assert.NilError(t, err)
		assert.Equal(t, again.Verdict, VerdictGranted)
	})
}

// No other member decides for a home that does not answer, and a home that was removed
// while paused commits nothing when it resumes.
func TestPausedHomeCommitsAfterRemoval(t *testing.T) {
	inCluster(t, 5, func(t *testing.T, c *cluster) {
		home, k := c.nodes[nodeName(0)], c.keyAt(nodeName(0))
		claim := home.mustClaim(t, k)
		c.network.Pause(nodeName(0))
		_, err := c.nodes[nodeName(1)].dispatch(k)
		assert.ErrorIs(t, err, ErrUnknown)
		c.holdTables(nodeName(0))
		c.remove(nodeName(0))
		c.waitSettled()
		_, err = c.nodes[nodeName(1)].dispatch(k)
		assert.NilError(t, err)
		c.network.Resume(nodeName(0))
		assert.ErrorIs(t, home.commit(claim), ErrRevoked)
	})
}

// The table changes while the witness's reply to the home is in transit. The new home
// has already collected from the old one and never queries the witness, yet must know of
// the commit.
func TestTableChangeDuringCommit(t *testing.T) {
	inCluster(t, 4, func(t *testing.T, c *cluster) {
		newcomer := nodeName(9)
		k := c.keyBetween(nodeName(0), nodeName(1))
		for hashKey(k).score(hashNode(newcomer)) < hashKey(k).score(hashNode(nodeName(0))) {
			k = c.keyBetween(nodeName(0), nodeName(1))
		}
		claim := c.nodes[nodeName(0)].mustClaim(t, k)
		c.network.Intercept(func(from, to domain.NodeID, method peer.Method, reply bool) peertest.Action {
			if method == methodMirror && reply && from == nodeName(1) {
				return peertest.Action{Delay: 100 * time.Millisecond}
			}
			return peertest.Action{}
		})
		result := make(chan error)
		go func() { result <- c.nodes[nodeName(0)].commit(claim) }()
		time.Sleep(5 * time.Millisecond)
		c.network.Cut(newcomer, nodeName(1))
		c.holdTables(nodeName(1))
		c.start(newcomer, testDataCentre)
		time.Sleep(20 * time.Millisecond)
		c.remove(nodeName(1))
		time.Sleep(20 * time.Millisecond)
		assert.Equal(t, c.nodes[nodeName(2)].verdict(t, k), VerdictAttached)
		assert.NilError(t, <-result)
		_, err := c.nodes[nodeName(2)].dispatch(k)
		assert.NilError(t, err)
	})
}

// A claim given by a former home is not restored when that home gets the key back.
func TestClaimOfFormerHomeStaysRevoked(t *testing.T) {
	inCluster(t, 4, func(t *testing.T, c *cluster) {
		far := c.start("far", "catania")
		newcomer := nodeName(9)
		k := c.keyAt(nodeName(0))
		for hashKey(k).score(hashNode(newcomer)) < hashKey(k).score(hashNode(nodeName(0))) {
			k = c.keyAt(nodeName(0))
		}
		claim := far.mustClaim(t, k)
		c.start(newcomer, testDataCentre)
		c.waitSettled()
		c.markGone(far.member)
		c.nodes[nodeName(1)].mustClaimAndRelease(t, k)
		c.crash(newcomer)
		c.remove(newcomer)
		c.waitSettled()
		assert.ErrorIs(t, far.commit(claim), ErrRevoked)
	})
}

// A member removed by mistake drops its claims before it joins again.
func TestRemovedMemberDropsClaims(t *testing.T) {
	inCluster(t, 5, func(t *testing.T, c *cluster) {
		holder, k := c.nodes[nodeName(1)], c.keyAt(nodeName(0))
		claim := holder.mustClaim(t, k)
		c.edit(holder, Remove(holder.member))
		c.waitSettled()
		c.nodes[nodeName(2)].mustClaimAndRelease(t, k)
		c.edit(holder, Join(holder.member))
		c.waitSettled()
		c.crash(nodeName(0))
		c.remove(nodeName(0))
		c.waitSettled()
		assert.ErrorIs(t, holder.commit(claim), ErrRevoked)
	})
}

// A member that is removed and joins again while its commit is in transit no longer
// holds the second copy.
func TestRejoinDuringCommitInvalidatesCopy(t *testing.T) {
	inCluster(t, 5, func(t *testing.T, c *cluster) {
		holder, k := c.nodes[nodeName(1)], c.keyAt(nodeName(0))
		claim := holder.mustClaim(t, k)
		c.network.Intercept(func(from, to domain.NodeID, method peer.Method, reply bool) peertest.Action {
			if method == methodCommit && !reply {
				return peertest.Action{Delay: 100 * time.Millisecond}
			}
			return peertest.Action{}
		})
		result := make(chan error)
		go func() { result <- holder.commit(claim) }()
		time.Sleep(10 * time.Millisecond)
		c.edit(holder, Remove(holder.member))
		time.Sleep(20 * time.Millisecond)
		c.edit(holder, Join(holder.member))
		assert.ErrorIs(t, <-result, ErrRevoked)
		c.network.Intercept(nil)
		c.crash(nodeName(0))
		c.remove(nodeName(0))
		c.waitSettled()
		_, err := c.nodes[nodeName(2)].dispatch(k)
		assert.NilError(t, err)
	})
}

// Membership reports a member as gone that is only paused: its claims stay valid until
// the table changes, while its commits are taken over.
func TestMembershipDoesNotRevokeClaims(t *testing.T) {
	inCluster(t, 5, func(t *testing.T, c *cluster) {
		holder, claimed, committed := c.nodes[nodeName(1)], c.keyAt(nodeName(0)), c.keyAt(nodeName(0))
		claim := holder.mustClaim(t, claimed)
		done, err := holder.dispatch(committed)
		assert.NilError(t, err)
		c.markGone(holder.member)
		assert.Equal(t, c.nodes[nodeName(2)].verdict(t, claimed), VerdictAttached)
		taken, err := c.nodes[nodeName(2)].dispatch(committed)
		assert.NilError(t, err)
		assert.Equal(t, taken.Verdict, VerdictTakeover)
		assert.ErrorIs(t, c.nodes[nodeName(2)].Release(t.Context(), taken), ErrRevoked)
		assert.ErrorIs(t, holder.Finish(t.Context(), done, true), ErrRevoked)
		assert.NilError(t, holder.commit(claim))
	})
}

// The messages that end a claim are lost: the home queries the holder for the state.
func TestLostMessagesAreRecovered(t *testing.T) {
	inCluster(t, 5, func(t *testing.T, c *cluster) {
		holder, k := c.nodes[nodeName(1)], c.keyAt(nodeName(0))
		c.network.DropNextReplies(nodeName(0), nodeName(1), methodClaim, 10)
		_, err := holder.Claim(t.Context(), k, Fingerprint{1})
		assert.ErrorIs(t, err, ErrUnknown)
		c.network.DropNextReplies(nodeName(0), nodeName(1), methodClaim, -10)
		time.Sleep(DefaultHolderCheckAge)
		assert.Equal(t, c.nodes[nodeName(2)].verdict(t, k), VerdictAttached)
		time.Sleep(time.Millisecond * 10)
		claim := c.nodes[nodeName(2)].mustClaim(t, k)
		assert.NilError(t, c.nodes[nodeName(2)].commit(claim))
		c.network.DropNext(nodeName(2), nodeName(0), methodFinish, 10)
		assert.ErrorIs(t, c.nodes[nodeName(2)].Finish(t.Context(), claim, true), ErrUnknown)
		time.Sleep(DefaultHolderCheckAge)
		assert.Equal(t, c.nodes[nodeName(3)].verdict(t, k), VerdictAttached)
		time.Sleep(time.Millisecond * 10)
		assert.Equal(t, c.nodes[nodeName(3)].verdict(t, k), VerdictFinished)
	})
}

func TestFullHomeRefusesOnlyNewKeys(t *testing.T) {
	inCluster(t, 3, func(t *testing.T, c *cluster) {
		home := c.nodes[nodeName(0)]
		old := c.keyAt(nodeName(0))
		home.mustClaim(t, old)
		home.options.MaxRecords = 1
		_, err := c.nodes[nodeName(1)].Claim(t.Context(), c.keyAt(nodeName(0)), Fingerprint{1})
		assert.ErrorIs(t, err, ErrFull)
		assert.Equal(t, c.nodes[nodeName(1)].verdict(t, old), VerdictAttached)
	})
}

// A member starts to leave and crashes before its records were collected. Their new
// home has not seen the epoch in between.
func TestLeavingMemberCrashes(t *testing.T) {
	inCluster(t, 4, func(t *testing.T, c *cluster) {
		k := c.keyBetween(nodeName(0), nodeName(1))
		_, err := c.nodes[nodeName(2)].dispatch(k)
		assert.NilError(t, err)
		c.isolate(nodeName(1))
		c.edit(c.nodes[nodeName(0)], Leave(c.nodes[nodeName(0)].member))
		time.Sleep(100 * time.Millisecond)
		c.crash(nodeName(0))
		c.remove(nodeName(0))
		c.network.HealAll()
		c.releaseTables(nodeName(1))
		_, err = c.nodes[nodeName(1)].dispatch(k)
		assert.NilError(t, err)
	})
}
