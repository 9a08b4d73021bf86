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

// The owner goes, in one way or another: no ask and no grant is lost, and the new
// owner grants no more than the old one had left.
func TestOwnerGoes(t *testing.T) {
	tests := []struct {
		name string
		goes func(c *cluster, owner domain.NodeID)
		// within is the time in which a freed place reaches a waiting ask again.
		within time.Duration
	}{
		{"crashes", func(c *cluster, owner domain.NodeID) {
			c.crash(owner)
			c.publish()
		}, 100 * time.Millisecond},
		{"leaves", func(c *cluster, owner domain.NodeID) {
			c.status[owner] = membership.StatusLeaving
			c.publish()
		}, 100 * time.Millisecond},
		{"restarts", func(c *cluster, owner domain.NodeID) {
			c.crash(owner)
			c.add(owner, 2)
			c.publish()
		}, 100 * time.Millisecond},
		{"is unreachable", func(c *cluster, owner domain.NodeID) {
			rest := append(without(threeNodes, owner), "a9")
			c.network.Partition([]domain.NodeID{owner}, rest)
			c.status[owner] = membership.StatusUnreachable
			c.publish(rest...)
		}, 100 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			rows := []config.EndpointRow{engine("e1", "a", 2, "quote")}
			inCluster(t, rows, Options{}, threeNodes, func(t *testing.T, c *cluster) {
				owner, others := c.roles()
				held := c.begin(others[0], ask(2)).granted(t, 2*time.Millisecond)
				second := c.begin(others[1], ask(2)).granted(t, 2*time.Millisecond)
				low := c.begin(others[0], ask(2))
				high := c.begin(others[1], ask(1))
				high.waits(t, 10*time.Millisecond)
				c.add("a9", 1)
				test.goes(c, owner)
				// This reaches the new owner, maybe the same node, before it can know
				// what is held.
				c.begin("a9", ask(2))
				time.Sleep(test.within)
				next := c.ownerOf(others[0], "a", quotePool)
				account := c.dump(next)
				assert.Assert(t, account.Settled)
				assert.Equal(t, account.Endpoints[0].Requests, 2)
				assert.DeepEqual(t, account.Waiting, map[domain.Tier]int{1: 1, 2: 2})
				high.waits(t, 0)
				held.Release(used)
				grant := high.granted(t, 2*time.Millisecond)
				low.waits(t, 0)
				grant.Release(used)
				second.Release(used)
				low.granted(t, 2*time.Millisecond).Release(used)
				time.Sleep(time.Millisecond)
				assert.Equal(t, c.dump(next).Endpoints[0].Requests, 1, "the one that came last")
			})
		})
	}
}

func without(names []domain.NodeID, name domain.NodeID) []domain.NodeID {
	return slices.DeleteFunc(slices.Clone(names), func(n domain.NodeID) bool { return n == name })
}

// Each message is lost once, in each direction: a high ask is served by revocation,
// a waiting one after it, and in the end the account is empty.
func TestLostMessages(t *testing.T) {
	methods := []struct {
		method peer.Method
		reply  bool
		// within bounds the time until the ask that waits longest is served.
		within time.Duration
	}{
		{methodAsk, false, 2 * time.Second},
		{methodAsk, true, 2 * time.Second},
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
					within = 2 * time.Second // that of a revoked grant: asked for again
				}
				losing(t, test.method, test.reply, nth, within)
			})
		}
	}
}

func losing(t *testing.T, method peer.Method, reply bool, nth int, within time.Duration) {
	rows := []config.EndpointRow{engine("e1", "a", 1, "quote")}
	inCluster(t, rows, Options{}, threeNodes, func(t *testing.T, c *cluster) {
		owner, others := c.roles()
		var seen atomic.Int32
		c.network.Intercept(func(_, _ domain.NodeID, m peer.Method, r bool) peertest.Action {
			drop := m == method && r == reply && seen.Add(1) == int32(nth+1)
			return peertest.Action{Drop: drop}
		})
		grant := c.begin(others[0], ask(2)).granted(t, within)
		high := c.begin(others[1], urgent(0))
		go func() {
			select {
			case <-grant.Revoked():
				grant.Release(used)
			case <-c.ended:
			}
		}()
		held := high.granted(t, within)
		waiting := c.begin(others[0], ask(2))
		waiting.waits(t, 5*time.Second)
		held.Release(used)
		waiting.granted(t, within).Release(used)
		time.Sleep(10 * time.Second)
		assert.Equal(t, c.dump(owner).Endpoints[0].Requests, 0)
		assert.Equal(t, c.nodes[others[0]].Dump().Links[0].Grants, 0)
	})
}

// A holder dies: its asks go when that is known, its places when nothing was heard
// of it for GrantTTL, since an engine may still be busy with them.
func TestHolderDies(t *testing.T) {
	rows := []config.EndpointRow{engine("e1", "a", 1, "quote")}
	inCluster(t, rows, Options{}, threeNodes, func(t *testing.T, c *cluster) {
		owner, others := c.roles()
		c.begin(others[0], ask(0)).granted(t, 2*time.Millisecond)
		c.begin(others[0], ask(0)).waits(t, 2*time.Millisecond)
		low := c.begin(others[1], ask(2))
		low.waits(t, 0)
		c.crash(others[0])
		c.publish()
		low.waits(t, DefaultGrantTTL-DefaultRenewInterval-time.Second)
		assert.DeepEqual(t, c.dump(owner).Waiting, map[domain.Tier]int{2: 1})
		low.granted(t, DefaultRenewInterval+2*time.Second)
	})
}

// A node whose view is out of date is told the owner by the one that was.
func TestViewOutOfDate(t *testing.T) {
	rows := []config.EndpointRow{engine("e1", "a", 1, "quote")}
	inCluster(t, rows, Options{}, threeNodes, func(t *testing.T, c *cluster) {
		owner, others := c.roles()
		c.status[owner] = membership.StatusLeaving
		next := rendezvous(quotePool, []domain.Member{c.nodes[others[0]].member, c.nodes[others[1]].member}).Node
		stale := without(others, next)[0]
		c.publish(without(threeNodes, stale)...)
		time.Sleep(100 * time.Millisecond)
		c.begin(stale, ask(1)).granted(t, 5*time.Millisecond)
		assert.Equal(t, c.dump(next).Endpoints[0].Requests, 1)
	})
}

// Another data centre's new owner is found too, by a node that does not know of it.
func TestQuoteFindsTheOwner(t *testing.T) {
	rows := []config.EndpointRow{engine("ea", "a", 1, "quote"), engine("eb", "b", 1, "quote")}
	inCluster(t, rows, Options{}, twoCentres, func(t *testing.T, c *cluster) {
		owner := c.ownerOf("a1", "b", quotePool)
		c.status[owner] = membership.StatusLeaving
		c.publish("b1", "b2")
		time.Sleep(100 * time.Millisecond)
		c.begin("a1", ask(1)).granted(t, 5*time.Millisecond)
		a := ask(1)
		a.FirstToken = 300 * time.Millisecond
		assert.Equal(t, c.begin("a2", a).granted(t, 300*time.Millisecond).Endpoint(), domain.EndpointID("eb"))
	})
}

// A change of the table that regroups pools keeps the account of what is held, also
// where the same node owns the new group.
func TestGroupChanges(t *testing.T) {
	for _, names := range [][]domain.NodeID{{"a1"}, threeNodes} {
		rows := []config.EndpointRow{engine("e1", "a", 1, "quote")}
		inCluster(t, rows, Options{}, names, func(t *testing.T, c *cluster) {
			held := c.begin("a1", ask(0)).granted(t, 5*time.Millisecond)
			waiting := c.begin("a1", ask(0))
			c.configure([]config.EndpointRow{engine("e1", "a", 1, "quote alpha")})
			waiting.waits(t, 10*time.Second)
			held.Release(used)
			waiting.granted(t, 5*time.Millisecond)
			owner := c.ownerOf("a1", "a", "model/alpha")
			assert.Equal(t, c.dump(owner).Endpoints[0].Requests, 1)
		})
	}
}

// An owner that does not reply, though the members' view has it alive, is asked
// again until the deadline; another data centre serves meanwhile if it can.
func TestOwnerOutOfReach(t *testing.T) {
	for _, elsewhere := range []bool{false, true} {
		rows := []config.EndpointRow{engine("ea", "a", 1, "quote")}
		if elsewhere {
			rows = append(rows, engine("eb", "b", 1, "quote"))
		}
		inCluster(t, rows, Options{}, []domain.NodeID{"a1", "a2", "b1"}, func(t *testing.T, c *cluster) {
			owner := c.ownerOf("a1", "a", quotePool)
			client := without([]domain.NodeID{"a1", "a2"}, owner)[0]
			c.network.Cut("a1", "a2")
			if elsewhere {
				assert.Equal(t, c.begin(client, ask(1)).granted(t, 4*time.Second).Endpoint(), domain.EndpointID("eb"))
				return
			}
			hurried := ask(1)
			hurried.Deadline = 3 * time.Second
			c.begin(client, hurried).refused(t, 3*time.Second, ErrDeadline)
			w := c.begin(client, ask(1))
			w.waits(t, 5*time.Second)
			c.network.HealAll()
			w.granted(t, 2*time.Second)
		})
	}
}

// A release that crosses the reply to a renewal is renewed all the same.
func TestReleaseCrossesRenewal(t *testing.T) {
	l := &link{known: true, holds: make(map[askID]*hold)}
	h := &hold{link: l, id: 1}
	l.add(h)
	r, _ := l.renewal()
	h.forget()
	l.agreed(r.changes)
	r, due := l.renewal()
	assert.Assert(t, due)
	l.agreed(r.changes)
	_, due = l.renewal()
	assert.Assert(t, !due)
}

// A caller gives up: its ask leaves the queue.
func TestCallerGivesUp(t *testing.T) {
	rows := []config.EndpointRow{engine("e1", "a", 1, "quote")}
	inCluster(t, rows, Options{}, threeNodes, func(t *testing.T, c *cluster) {
		owner, others := c.roles()
		c.begin(others[0], ask(0)).granted(t, 2*time.Millisecond)
		w := c.begin(others[1], ask(0))
		w.waits(t, 2*time.Millisecond)
		w.cancel()
		time.Sleep(2 * time.Millisecond)
		_, err, done := w.result()
		assert.Assert(t, done && err != nil)
		assert.Equal(t, len(c.dump(owner).Waiting), 0)
	})
}

// An owner is paused, replaced, and wakes with its old account: it hears of a place
// freed before, but nobody takes a grant from it, and the one that it gave before
// counts on.
func TestPausedOwnerWakesLate(t *testing.T) {
	rows := []config.EndpointRow{engine("e1", "a", 2, "quote")}
	inCluster(t, rows, Options{}, threeNodes, func(t *testing.T, c *cluster) {
		owner, others := c.roles()
		held := c.begin(others[0], ask(1)).granted(t, 2*time.Millisecond)
		second := c.begin(others[1], ask(1)).granted(t, 2*time.Millisecond)
		waiting := []*waitingAsk{c.begin(others[0], ask(1)), c.begin(others[1], ask(1)), c.begin(others[0], ask(1))}
		waiting[0].waits(t, 5*time.Millisecond)
		c.network.Pause(owner)
		held.Release(used)
		time.Sleep(10 * time.Millisecond)
		c.status[owner] = membership.StatusUnreachable
		c.publish(others...)
		time.Sleep(5 * time.Second)
		inHand := 1 + countGranted(waiting)
		assert.Equal(t, inHand, 2, "the new owner has granted the place that was freed")
		c.network.Resume(owner)
		time.Sleep(5 * time.Second)
		assert.Equal(t, 1+countGranted(waiting), 2, "the old one has granted nothing")
		c.status[owner] = membership.StatusAlive
		c.publish()
		time.Sleep(5 * time.Second)
		assert.Equal(t, c.dump(owner).Endpoints[0].Requests, 2)
		second.Release(used)
		time.Sleep(5 * time.Millisecond)
		assert.Equal(t, countGranted(waiting), 2)
		assert.Equal(t, c.dump(owner).Endpoints[0].Requests, 2)
	})
}

func countGranted(asks []*waitingAsk) int {
	n := 0
	for _, w := range asks {
		if grant, _, _ := w.result(); grant != nil {
			n++
		}
	}
	return n
}

// A data centre is torn in two: each side has an owner, which knows the grants of
// its side alone, so an endpoint gets at most twice its limit. Healed, the one owner
// counts them all, cuts none, and grants no more until they are below the limit.
func TestTwoOwners(t *testing.T) {
	rows := []config.EndpointRow{engine("e1", "a", 2, "quote")}
	inCluster(t, rows, Options{}, threeNodes, func(t *testing.T, c *cluster) {
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
		var asks []*waitingAsk
		for _, name := range []domain.NodeID{owner, owner, owner, others[0], others[1], others[1]} {
			asks = append(asks, c.begin(name, ask(1)))
		}
		time.Sleep(time.Second)
		assert.Equal(t, countGranted(asks), 4)
		c.network.HealAll()
		for _, name := range others {
			c.status[name] = membership.StatusAlive
		}
		c.publish()
		time.Sleep(time.Second)
		assert.Equal(t, c.dump(owner).Endpoints[0].Requests, 4)
		var held []Grant
		for _, a := range asks {
			if grant, _, _ := a.result(); grant != nil {
				assert.Assert(t, !isRevoked(grant))
				held = append(held, grant)
			}
		}
		held[0].Release(used)
		held[1].Release(used)
		time.Sleep(time.Second)
		assert.Equal(t, countGranted(asks), 4, "at the limit, none more")
		held[2].Release(used)
		time.Sleep(time.Second)
		assert.Equal(t, countGranted(asks), 5)
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

// A node whose view wrongly makes it the owner grants nothing while the owner says
// that it is.
func TestDisputedOwner(t *testing.T) {
	rows := []config.EndpointRow{engine("e1", "a", 1, "quote")}
	inCluster(t, rows, Options{}, threeNodes, func(t *testing.T, c *cluster) {
		owner, others := c.roles()
		next := rendezvous(quotePool, []domain.Member{c.nodes[others[0]].member, c.nodes[others[1]].member}).Node
		c.status[owner] = membership.StatusUnreachable
		c.publish(next)
		w := c.begin(next, ask(1))
		w.waits(t, 2*time.Second)
		c.status[owner] = membership.StatusAlive
		c.publish(next)
		w.granted(t, 100*time.Millisecond)
		assert.Equal(t, c.dump(owner).Endpoints[0].Requests, 1)
	})
}
