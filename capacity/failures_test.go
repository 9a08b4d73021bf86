package capacity

import (
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/membership"
	"hawthornrill.example/hawthornrill/peer"
	"hawthornrill.example/hawthornrill/peer/peertest"
)

var threeNodes = []domain.NodeID{"a1", "a2", "a3"}

// roles returns the owner of the pool and the other nodes.
func (c *cluster) roles() (owner domain.NodeID, others []domain.NodeID) {
	owner = c.ownerOf("a1", "a", quotePool)
	for _, name := range threeNodes {
		if name != owner {
			others = append(others, name)
		}
	}
	return owner, others
}

// When the owner crashes, leaves, restarts or becomes unreachable, no request and no
// grant is lost, and the new owner does not exceed the endpoint's limit.
func TestOwnerChange(t *testing.T) {
	tests := []struct {
		name   string
		change func(c *cluster, owner domain.NodeID)
		// within is the time in which a released slot reaches a queued request again.
		within time.Duration
	}{
		{"crash", func(c *cluster, owner domain.NodeID) {
			c.crash(owner)
			c.publish()
		}, 100 * time.Millisecond},
		{"leave", func(c *cluster, owner domain.NodeID) {
			c.status[owner] = membership.StatusLeaving
			c.publish()
		}, 100 * time.Millisecond},
		{"restart", func(c *cluster, owner domain.NodeID) {
			c.crash(owner)
			c.add(owner, 2)
			c.publish()
		}, 100 * time.Millisecond},
		{"unreachable", func(c *cluster, owner domain.NodeID) {
			rest := append(without(threeNodes, owner), "a9")
			c.network.Partition([]domain.NodeID{owner}, rest)
			c.status[owner] = membership.StatusUnreachable
			c.publish(rest...)
		}, 100 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			rows := []config.EndpointRow{engine("e1", "a", 2, "quote")}
			runCluster(t, rows, Options{}, threeNodes, func(t *testing.T, c *cluster) {
				owner, others := c.roles()
				held := c.acquire(others[0], newRequest(2)).requireGranted(t, 2*time.Millisecond)
				second := c.acquire(others[1], newRequest(2)).requireGranted(t, 2*time.Millisecond)
				low := c.acquire(others[0], newRequest(2))
				high := c.acquire(others[1], newRequest(1))
				high.requireWaiting(t, 10*time.Millisecond)
				c.add("a9", 1)
				test.change(c, owner)
				// This request reaches the new owner, possibly the same node, before it
				// can know what is held.
				c.acquire("a9", newRequest(2))
				time.Sleep(test.within)
				next := c.ownerOf(others[0], "a", quotePool)
				account := c.dump(next)
				assert.Assert(t, account.Settled)
				assert.Equal(t, account.Endpoints[0].Requests, 2)
				assert.DeepEqual(t, account.Waiting, map[domain.Tier]int{1: 1, 2: 2})
				high.requireWaiting(t, 0)
				held.Release(completedResult)
				grant := high.requireGranted(t, 2*time.Millisecond)
				low.requireWaiting(t, 0)
				grant.Release(completedResult)
				second.Release(completedResult)
				low.requireGranted(t, 2*time.Millisecond).Release(completedResult)
				time.Sleep(time.Millisecond)
				assert.Equal(t, c.dump(next).Endpoints[0].Requests, 1, "the last request")
			})
		})
	}
}

func without(names []domain.NodeID, name domain.NodeID) []domain.NodeID {
	return slices.DeleteFunc(slices.Clone(names), func(n domain.NodeID) bool { return n == name })
}

// For each kind of message and each direction, one of the first three messages is lost:
// a request of a high tier is still served by revocation, a queued one after it, and no
// grants remain in the end.
func TestLostMessages(t *testing.T) {
	methods := []struct {
		method peer.Method
		reply  bool
		// within bounds the time until the request that waits longest is served.
		within time.Duration
	}{
		{methodAcquire, false, 2 * time.Second},
		{methodAcquire, true, 2 * time.Second},
		{methodNotice, false, 10 * time.Second},
		{methodRelease, false, 10 * time.Second},
		{methodRenew, false, 2 * time.Second},
		{methodRenew, true, 2 * time.Second},
		{methodList, false, 10 * time.Second},
		{methodRegister, false, 10 * time.Second},
	}
	for _, test := range methods {
		for nth := range 3 {
			t.Run(fmt.Sprintf("%s reply=%v %d", test.method, test.reply, nth), func(t *testing.T) {
				within := test.within
				if test.method == methodRelease && nth == 0 {
					within = 2 * time.Second // a revoked grant's release: the revocation is repeated
				}
				testLostMessage(t, test.method, test.reply, nth, within)
			})
		}
	}
}

func testLostMessage(t *testing.T, method peer.Method, reply bool, nth int, within time.Duration) {
	rows := []config.EndpointRow{engine("e1", "a", 1, "quote")}
	runCluster(t, rows, Options{}, threeNodes, func(t *testing.T, c *cluster) {
		owner, others := c.roles()
		var seen atomic.Int32
		c.network.Intercept(func(_, _ domain.NodeID, m peer.Method, r bool) peertest.Action {
			drop := m == method && r == reply && seen.Add(1) == int32(nth+1)
			return peertest.Action{Drop: drop}
		})
		grant := c.acquire(others[0], newRequest(2)).requireGranted(t, within)
		high := c.acquire(others[1], urgentRequest(0))
		go func() {
			select {
			case <-grant.Revoked():
				grant.Release(completedResult)
			case <-c.ended:
			}
		}()
		held := high.requireGranted(t, within)
		waiting := c.acquire(others[0], newRequest(2))
		waiting.requireWaiting(t, 5*time.Second)
		held.Release(completedResult)
		waiting.requireGranted(t, within).Release(completedResult)
		time.Sleep(10 * time.Second)
		assert.Equal(t, c.dump(owner).Endpoints[0].Requests, 0)
		assert.Equal(t, c.nodes[others[0]].Dump().Links[0].Grants, 0)
	})
}

// When a holder crashes, its queued requests are dropped as soon as that is known. Its
// slots are kept until GrantTTL has passed since its last message, as an engine may still
// be working on its requests.
func TestHolderCrash(t *testing.T) {
	rows := []config.EndpointRow{engine("e1", "a", 1, "quote")}
	runCluster(t, rows, Options{}, threeNodes, func(t *testing.T, c *cluster) {
		owner, others := c.roles()
		c.acquire(others[0], newRequest(0)).requireGranted(t, 2*time.Millisecond)
		c.acquire(others[0], newRequest(0)).requireWaiting(t, 2*time.Millisecond)
		low := c.acquire(others[1], newRequest(2))
		low.requireWaiting(t, 0)
		c.crash(others[0])
		c.publish()
		low.requireWaiting(t, DefaultGrantTTL-DefaultRenewInterval-time.Second)
		assert.DeepEqual(t, c.dump(owner).Waiting, map[domain.Tier]int{2: 1})
		low.requireGranted(t, DefaultRenewInterval+2*time.Second)
	})
}

// A node with a stale membership view is redirected to the owner by the former owner.
func TestStaleViewIsRedirected(t *testing.T) {
	rows := []config.EndpointRow{engine("e1", "a", 1, "quote")}
	runCluster(t, rows, Options{}, threeNodes, func(t *testing.T, c *cluster) {
		owner, others := c.roles()
		c.status[owner] = membership.StatusLeaving
		next := rendezvous(quotePool, []domain.Member{c.nodes[others[0]].member, c.nodes[others[1]].member}).Node
		stale := without(others, next)[0]
		c.publish(without(threeNodes, stale)...)
		time.Sleep(100 * time.Millisecond)
		c.acquire(stale, newRequest(1)).requireGranted(t, 5*time.Millisecond)
		assert.Equal(t, c.dump(next).Endpoints[0].Requests, 1)
	})
}

// A node that does not know of another data centre's new owner is redirected to it by the
// former owner.
func TestQuoteIsRedirectedToNewOwner(t *testing.T) {
	rows := []config.EndpointRow{engine("ea", "a", 1, "quote"), engine("eb", "b", 1, "quote")}
	runCluster(t, rows, Options{}, twoDataCentres, func(t *testing.T, c *cluster) {
		owner := c.ownerOf("a1", "b", quotePool)
		c.status[owner] = membership.StatusLeaving
		c.publish("b1", "b2")
		time.Sleep(100 * time.Millisecond)
		c.acquire("a1", newRequest(1)).requireGranted(t, 5*time.Millisecond)
		a := newRequest(1)
		a.FirstToken = 300 * time.Millisecond
		assert.Equal(t, c.acquire("a2", a).requireGranted(t, 300*time.Millisecond).Endpoint(), domain.EndpointID("eb"))
	})
}

// A configuration change that regroups pools keeps the record of existing grants, even
// if the same node owns the new group.
func TestPoolGroupChange(t *testing.T) {
	for _, names := range [][]domain.NodeID{{"a1"}, threeNodes} {
		rows := []config.EndpointRow{engine("e1", "a", 1, "quote")}
		runCluster(t, rows, Options{}, names, func(t *testing.T, c *cluster) {
			held := c.acquire("a1", newRequest(0)).requireGranted(t, 5*time.Millisecond)
			waiting := c.acquire("a1", newRequest(0))
			c.configure([]config.EndpointRow{engine("e1", "a", 1, "quote alpha")})
			waiting.requireWaiting(t, 10*time.Second)
			held.Release(completedResult)
			waiting.requireGranted(t, 5*time.Millisecond)
			owner := c.ownerOf("a1", "a", "model/alpha")
			assert.Equal(t, c.dump(owner).Endpoints[0].Requests, 1)
		})
	}
}

// An owner that does not reply although the membership view has it alive is called
// again until the deadline; meanwhile another data centre serves the request if it can.
func TestOwnerUnreachable(t *testing.T) {
	for _, elsewhere := range []bool{false, true} {
		rows := []config.EndpointRow{engine("ea", "a", 1, "quote")}
		if elsewhere {
			rows = append(rows, engine("eb", "b", 1, "quote"))
		}
		runCluster(t, rows, Options{}, []domain.NodeID{"a1", "a2", "b1"}, func(t *testing.T, c *cluster) {
			owner := c.ownerOf("a1", "a", quotePool)
			client := without([]domain.NodeID{"a1", "a2"}, owner)[0]
			c.network.Cut("a1", "a2")
			if elsewhere {
				assert.Equal(t, c.acquire(client, newRequest(1)).requireGranted(t, 4*time.Second).Endpoint(), domain.EndpointID("eb"))
				return
			}
			shortDeadline := newRequest(1)
			shortDeadline.Deadline = 3 * time.Second
			c.acquire(client, shortDeadline).requireRefused(t, 3*time.Second, ErrDeadline)
			w := c.acquire(client, newRequest(1))
			w.requireWaiting(t, 5*time.Second)
			c.network.HealAll()
			w.requireGranted(t, 2*time.Second)
		})
	}
}

// A release that crosses the reply to a renewal must still be covered by the next
// renewal.
func TestReleaseCrossesRenewal(t *testing.T) {
	l := &link{known: true, handles: make(map[requestID]*handle)}
	h := &handle{link: l, id: 1}
	l.add(h)
	r, _ := l.renewal()
	h.removeRefused()
	l.confirm(r.changes)
	r, due := l.renewal()
	assert.Assert(t, due)
	l.confirm(r.changes)
	_, due = l.renewal()
	assert.Assert(t, !due)
}

// A request whose caller cancels leaves the queue.
func TestCallerCancels(t *testing.T) {
	rows := []config.EndpointRow{engine("e1", "a", 1, "quote")}
	runCluster(t, rows, Options{}, threeNodes, func(t *testing.T, c *cluster) {
		owner, others := c.roles()
		c.acquire(others[0], newRequest(0)).requireGranted(t, 2*time.Millisecond)
		w := c.acquire(others[1], newRequest(0))
		w.requireWaiting(t, 2*time.Millisecond)
		w.cancel()
		time.Sleep(2 * time.Millisecond)
		_, err, done := w.result()
		assert.Assert(t, done && err != nil)
		assert.Equal(t, len(c.dump(owner).Waiting), 0)
	})
}

// An owner is paused, replaced, and resumes with its old state. It receives the release
// of a slot from before, but no node accepts a grant from it, and the grant that it
// made earlier continues to count.
func TestPausedOwnerResumes(t *testing.T) {
	rows := []config.EndpointRow{engine("e1", "a", 2, "quote")}
	runCluster(t, rows, Options{}, threeNodes, func(t *testing.T, c *cluster) {
		owner, others := c.roles()
		held := c.acquire(others[0], newRequest(1)).requireGranted(t, 2*time.Millisecond)
		second := c.acquire(others[1], newRequest(1)).requireGranted(t, 2*time.Millisecond)
		waiting := []*pendingAcquire{c.acquire(others[0], newRequest(1)), c.acquire(others[1], newRequest(1)), c.acquire(others[0], newRequest(1))}
		waiting[0].requireWaiting(t, 5*time.Millisecond)
		c.network.Pause(owner)
		held.Release(completedResult)
		time.Sleep(10 * time.Millisecond)
		c.status[owner] = membership.StatusUnreachable
		c.publish(others...)
		time.Sleep(5 * time.Second)
		inHand := 1 + countGranted(waiting)
		assert.Equal(t, inHand, 2, "the new owner has granted the released slot")
		c.network.Resume(owner)
		time.Sleep(5 * time.Second)
		assert.Equal(t, 1+countGranted(waiting), 2, "the old owner has granted nothing")
		c.status[owner] = membership.StatusAlive
		c.publish()
		time.Sleep(5 * time.Second)
		assert.Equal(t, c.dump(owner).Endpoints[0].Requests, 2)
		second.Release(completedResult)
		time.Sleep(5 * time.Millisecond)
		assert.Equal(t, countGranted(waiting), 2)
		assert.Equal(t, c.dump(owner).Endpoints[0].Requests, 2)
	})
}

func countGranted(pending []*pendingAcquire) int {
	n := 0
	for _, w := range pending {
		if grant, _, _ := w.result(); grant != nil {
			n++
		}
	}
	return n
}

// In a partitioned data centre each side has an owner that knows only the grants of its
// side, so an endpoint gets at most twice its limit. Once healed, the single owner
// counts all grants, revokes none, and makes no new ones until they are below the
// limit.
func TestPartitionedDataCentre(t *testing.T) {
	rows := []config.EndpointRow{engine("e1", "a", 2, "quote")}
	runCluster(t, rows, Options{}, threeNodes, func(t *testing.T, c *cluster) {
		owner, others := c.roles()
		c.network.Partition([]domain.NodeID{owner}, others)
		c.status[owner] = membership.StatusUnreachable
		c.publish(others...)
		c.status[owner] = membership.StatusAlive
		for _, name := range others {
			c.status[name] = membership.StatusUnreachable
		}
		c.publish(owner)
		time.Sleep(2 * time.Second)
		var pending []*pendingAcquire
		for _, name := range []domain.NodeID{owner, owner, owner, others[0], others[1], others[1]} {
			pending = append(pending, c.acquire(name, newRequest(1)))
		}
		time.Sleep(time.Second)
		assert.Equal(t, countGranted(pending), 4)
		c.network.HealAll()
		for _, name := range others {
			c.status[name] = membership.StatusAlive
		}
		c.publish()
		time.Sleep(time.Second)
		assert.Equal(t, c.dump(owner).Endpoints[0].Requests, 4)
		var held []Grant
		for _, a := range pending {
			if grant, _, _ := a.result(); grant != nil {
				assert.Assert(t, !isRevoked(grant))
				held = append(held, grant)
			}
		}
		held[0].Release(completedResult)
		held[1].Release(completedResult)
		time.Sleep(time.Second)
		assert.Equal(t, countGranted(pending), 4, "no new grant at the limit")
		held[2].Release(completedResult)
		time.Sleep(time.Second)
		assert.Equal(t, countGranted(pending), 5)
	})
}

func isRevoked(g Grant) bool {
	select {
	case <-g.Revoked():
		return true
	default:
		return false
	}
}

// A node whose stale view makes it the owner grants nothing while the actual owner
// claims ownership.
func TestDisputedOwner(t *testing.T) {
	rows := []config.EndpointRow{engine("e1", "a", 1, "quote")}
	runCluster(t, rows, Options{}, threeNodes, func(t *testing.T, c *cluster) {
		owner, others := c.roles()
		next := rendezvous(quotePool, []domain.Member{c.nodes[others[0]].member, c.nodes[others[1]].member}).Node
		c.status[owner] = membership.StatusUnreachable
		c.publish(next)
		w := c.acquire(next, newRequest(1))
		w.requireWaiting(t, 2*time.Second)
		c.status[owner] = membership.StatusAlive
		c.publish(next)
		w.requireGranted(t, 100*time.Millisecond)
		assert.Equal(t, c.dump(owner).Endpoints[0].Requests, 1)
	})
}
