package ledger

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
	"hawthornrill.example/hawthornrill/peer/peertest"
)

// grant claims a key that must be free.
func (n *testNode) grant(t *testing.T, k domain.RequestKey) Claim {
	t.Helper()
	claim, err := n.Claim(t.Context(), k, Fingerprint{1})
	assert.NilError(t, err)
	assert.Equal(t, claim.Verdict, VerdictGranted)
	return claim
}

// deny claims a key that must be free and gives it up.
func (n *testNode) deny(t *testing.T, k domain.RequestKey) {
	t.Helper()
	claim := n.grant(t, k)
	asked := time.Now()
	assert.NilError(t, n.Release(t.Context(), claim))
	n.cluster.promises.toldNotRun(k, n.member, asked)
}

// verdict claims a key and returns what the home says.
func (n *testNode) verdict(t *testing.T, k domain.RequestKey) Verdict {
	t.Helper()
	claim, err := n.Claim(t.Context(), k, Fingerprint{1})
	assert.NilError(t, err)
	return claim.Verdict
}

// keyBetween returns a key whose home is the first node and, without it, the second.
func (c *cluster) keyBetween(first, second domain.NodeID) domain.RequestKey {
	for {
		k := c.keyAt(first)
		if order(c.latest().candidates(), hashKey(k))[1].Node == second {
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
			c.settle()
			assert.Equal(t, c.anyBut(nodeName(i)).verdict(t, kept), VerdictFinished)
			c.nodes[nodeName(i)].grant(t, key(-1-i))
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
			c.settle()
			assert.Assert(t, c.nodes[nodeName(i)].verdict(t, committed) != VerdictGranted)
			c.nodes[nodeName(i)].grant(t, key(-1-i))
		}
	})
}

// Two losses before the second copy was made anew leave exactly the keys uncertain
// that the two may have held, for as long as a lost record would have been kept.
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
		c.settle()
		n := c.nodes[nodeName(3)]
		n.grant(t, other)
		time.Sleep(DefaultRetention)
		_, err = n.dispatch(lost)
		assert.ErrorIs(t, err, ErrUnknown)
		time.Sleep(2*DefaultFenceTimeout + time.Second)
		n.grant(t, lost)
	})
}

// The holder of a claim that was revoked wakes late: its caller's other attempt was
// told that the request was not run.
func TestHolderPausedAndWakingLate(t *testing.T) {
	inCluster(t, 5, func(t *testing.T, c *cluster) {
		holder, k := c.nodes[nodeName(1)], c.keyAt(nodeName(0))
		claim := holder.grant(t, k)
		c.network.Pause(nodeName(1))
		c.hold(nodeName(1))
		c.remove(nodeName(1))
		c.settle()
		c.nodes[nodeName(2)].deny(t, k)
		_, err := c.nodes[nodeName(2)].dispatch(k)
		assert.NilError(t, err)
		c.network.Resume(nodeName(1))
		assert.ErrorIs(t, holder.commit(claim), ErrRevoked)
	})
}

// The home is paused after it has recorded the commit and before it replies.
func TestHomePausedBetweenCommitAndReply(t *testing.T) {
	inCluster(t, 5, func(t *testing.T, c *cluster) {
		holder, k := c.nodes[nodeName(1)], c.keyAt(nodeName(0))
		claim := holder.grant(t, k)
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

// A home that is out of reach is not guessed around, and a removed one that wakes
// late commits nothing.
func TestHomePausedAndWakingLate(t *testing.T) {
	inCluster(t, 5, func(t *testing.T, c *cluster) {
		home, k := c.nodes[nodeName(0)], c.keyAt(nodeName(0))
		claim := home.grant(t, k)
		c.network.Pause(nodeName(0))
		_, err := c.nodes[nodeName(1)].dispatch(k)
		assert.ErrorIs(t, err, ErrUnknown)
		c.hold(nodeName(0))
		c.remove(nodeName(0))
		c.settle()
		_, err = c.nodes[nodeName(1)].dispatch(k)
		assert.NilError(t, err)
		c.network.Resume(nodeName(0))
		assert.ErrorIs(t, home.commit(claim), ErrRevoked)
	})
}

// The table changes while the witness's reply is on its way to the home: the new
// home has asked the old one before, and never asks the witness.
func TestTableChangeRacingACommit(t *testing.T) {
	inCluster(t, 4, func(t *testing.T, c *cluster) {
		newcomer := nodeName(9)
		k := c.keyBetween(nodeName(0), nodeName(1))
		for hashKey(k).score(hashNode(newcomer)) < hashKey(k).score(hashNode(nodeName(0))) {
			k = c.keyBetween(nodeName(0), nodeName(1))
		}
		claim := c.nodes[nodeName(0)].grant(t, k)
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
		c.hold(nodeName(1))
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

// A claim given by a former home does not come back when the key does.
func TestOldClaimsDoNotComeBack(t *testing.T) {
	inCluster(t, 4, func(t *testing.T, c *cluster) {
		far := c.start("far", "catania")
		newcomer := nodeName(9)
		k := c.keyAt(nodeName(0))
		for hashKey(k).score(hashNode(newcomer)) < hashKey(k).score(hashNode(nodeName(0))) {
			k = c.keyAt(nodeName(0))
		}
		claim := far.grant(t, k)
		c.start(newcomer, testDataCentre)
		c.settle()
		c.callGone(far.member)
		c.nodes[nodeName(1)].deny(t, k)
		c.crash(newcomer)
		c.remove(newcomer)
		c.settle()
		assert.ErrorIs(t, far.commit(claim), ErrRevoked)
	})
}

// A member taken out by mistake forgets its claims before it joins again.
func TestRemovedMemberForgets(t *testing.T) {
	inCluster(t, 5, func(t *testing.T, c *cluster) {
		holder, k := c.nodes[nodeName(1)], c.keyAt(nodeName(0))
		claim := holder.grant(t, k)
		c.edit(holder, Remove(holder.member))
		c.settle()
		c.nodes[nodeName(2)].deny(t, k)
		c.edit(holder, Join(holder.member))
		c.settle()
		c.crash(nodeName(0))
		c.remove(nodeName(0))
		c.settle()
		assert.ErrorIs(t, holder.commit(claim), ErrRevoked)
	})
}

// A member that is out and in again while its commit is on the way no longer holds
// the second copy.
func TestCopyLostOnTheWay(t *testing.T) {
	inCluster(t, 5, func(t *testing.T, c *cluster) {
		holder, k := c.nodes[nodeName(1)], c.keyAt(nodeName(0))
		claim := holder.grant(t, k)
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
		c.settle()
		_, err := c.nodes[nodeName(2)].dispatch(k)
		assert.NilError(t, err)
	})
}

// The host list calls a member gone that is only paused: what it claimed stays its
// own until the table says so, what it committed is taken over.
func TestMembershipAloneRevokesNothing(t *testing.T) {
	inCluster(t, 5, func(t *testing.T, c *cluster) {
		holder, claimed, committed := c.nodes[nodeName(1)], c.keyAt(nodeName(0)), c.keyAt(nodeName(0))
		claim := holder.grant(t, claimed)
		done, err := holder.dispatch(committed)
		assert.NilError(t, err)
		c.callGone(holder.member)
		assert.Equal(t, c.nodes[nodeName(2)].verdict(t, claimed), VerdictAttached)
		taken, err := c.nodes[nodeName(2)].dispatch(committed)
		assert.NilError(t, err)
		assert.Equal(t, taken.Verdict, VerdictTakeover)
		assert.ErrorIs(t, c.nodes[nodeName(2)].Release(t.Context(), taken), ErrRevoked)
		assert.ErrorIs(t, holder.Finish(t.Context(), done, true), ErrRevoked)
		assert.NilError(t, holder.commit(claim))
	})
}

// The messages that end a claim are lost: the home asks the holder.
func TestLostMessagesAreMadeUpFor(t *testing.T) {
	inCluster(t, 5, func(t *testing.T, c *cluster) {
		holder, k := c.nodes[nodeName(1)], c.keyAt(nodeName(0))
		c.network.DropNextReplies(nodeName(0), nodeName(1), methodClaim, 10)
		_, err := holder.Claim(t.Context(), k, Fingerprint{1})
		assert.ErrorIs(t, err, ErrUnknown)
		c.network.DropNextReplies(nodeName(0), nodeName(1), methodClaim, -10)
		time.Sleep(DefaultHolderCheckAge)
		assert.Equal(t, c.nodes[nodeName(2)].verdict(t, k), VerdictAttached)
		time.Sleep(time.Millisecond * 10)
		claim := c.nodes[nodeName(2)].grant(t, k)
		assert.NilError(t, c.nodes[nodeName(2)].commit(claim))
		c.network.DropNext(nodeName(2), nodeName(0), methodFinish, 10)
		assert.ErrorIs(t, c.nodes[nodeName(2)].Finish(t.Context(), claim, true), ErrUnknown)
		time.Sleep(DefaultHolderCheckAge)
		assert.Equal(t, c.nodes[nodeName(3)].verdict(t, k), VerdictAttached)
		time.Sleep(time.Millisecond * 10)
		assert.Equal(t, c.nodes[nodeName(3)].verdict(t, k), VerdictFinished)
	})
}

func TestFullHomeRefusesNewKeysAlone(t *testing.T) {
	inCluster(t, 3, func(t *testing.T, c *cluster) {
		home := c.nodes[nodeName(0)]
		old := c.keyAt(nodeName(0))
		home.grant(t, old)
		home.options.MaxRecords = 1
		_, err := c.nodes[nodeName(1)].Claim(t.Context(), c.keyAt(nodeName(0)), Fingerprint{1})
		assert.ErrorIs(t, err, ErrFull)
		assert.Equal(t, c.nodes[nodeName(1)].verdict(t, old), VerdictAttached)
	})
}

// A member begins to leave and dies before its records were collected; the one that
// is now their home did not see the epoch in between.
func TestLeavingMemberDies(t *testing.T) {
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
		c.release(nodeName(1))
		_, err = c.nodes[nodeName(1)].dispatch(k)
		assert.NilError(t, err)
	})
}
