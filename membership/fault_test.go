package membership

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/hostlist"
	"hawthornrill.example/hawthornrill/peer"
	"hawthornrill.example/hawthornrill/peer/peertest"
)

func others(nodes []domain.NodeID, but ...domain.NodeID) []domain.NodeID {
	var rest []domain.NodeID
	for _, node := range nodes {
		excluded := false
		for _, each := range but {
			excluded = excluded || node == each
		}
		if !excluded {
			rest = append(rest, node)
		}
	}
	return rest
}

func TestCrashIsNoticed(t *testing.T) {
	cases := []struct {
		dcs, size   int
		near, far   time.Duration
		whole       bool
		description string
	}{
		{1, 2, 6 * time.Second, 0, false, "the only other node"},
		{3, 2, 4 * time.Second, 11 * time.Second, false, "today's size"},
		{2, 48, 5 * time.Second, 11 * time.Second, false, "design size"},
		{3, 7, 0, 11 * time.Second, true, "a whole data centre"},
	}
	for _, c := range cases {
		t.Run(c.description, func(t *testing.T) {
			inBubble(t, c.dcs, c.size, nil, func(t *testing.T, x *fleet) {
				dead := []domain.NodeID{x.group(0)[1]}
				if c.whole {
					dead = x.group(0)
				}
				for _, node := range dead {
					x.crash(node)
				}
				first := x.within(c.near, "unreachable to one", func() bool { return x.count(x.group(0), dead[0], StatusUnreachable) > 0 || c.whole })
				near := first + x.within(c.near-first, "unreachable nearby", func() bool { return x.all(x.group(0), dead, StatusUnreachable) })
				assert.Assert(t, near == 0 || near-first <= time.Second, "first %s, last %s", first, near)
				far := x.within(c.far-near, "unreachable everywhere", func() bool { return x.all(x.order, dead, StatusUnreachable) })
				t.Logf("first %s, near %s, far %s", first, near, near+far)
				// It stays so: only the list, a farewell or a later life makes it gone.
				x.throughout(20*time.Second, "stays unreachable", func() bool {
					return x.all(x.order, dead, StatusUnreachable) && x.all(x.order, x.order, StatusAlive)
				})
			})
		})
	}
}

func TestPausedNodeComesBackByItself(t *testing.T) {
	inBubble(t, 2, 7, nil, func(t *testing.T, x *fleet) {
		paused := x.group(0)[3]
		rest := others(x.order, paused)
		x.network.Pause(paused)
		x.within(11*time.Second, "unreachable", func() bool { return x.all(rest, []domain.NodeID{paused}, StatusUnreachable) })
		x.throughout(2*time.Minute, "not gone, nobody else lost", func() bool {
			return x.all(rest, []domain.NodeID{paused}, StatusUnreachable) && x.all(rest, rest, StatusAlive)
		})
		x.network.Resume(paused)
		x.within(3*time.Second, "back nearby", func() bool { return x.all(x.group(0), x.group(0), StatusAlive) })
		x.within(6*time.Second, "back everywhere", func() bool { return x.all(x.order, x.order, StatusAlive) })
	})
}

func TestPausedNodeDoesNotBlameOthers(t *testing.T) {
	inBubble(t, 1, 2, nil, func(t *testing.T, x *fleet) {
		// The node suspects the other one when it is paused; when it wakes, its time
		// for asking on has passed, but the other one is well.
		paused, other := x.nodes[x.order[0]], x.nodes[x.order[1]]
		blamed := x.watch(x.order[:1], x.order[1:])
		x.network.Cut(x.order[0], x.order[1])
		x.within(3*time.Second, "suspected", func() bool { return paused.isSuspect(other.self) })
		x.network.Pause(x.order[0])
		x.network.HealAll()
		time.Sleep(time.Minute)
		x.network.Resume(x.order[0])
		time.Sleep(10 * time.Second)
		assert.Equal(t, blamed.Load(), int32(0))
		assert.Assert(t, x.all(x.order, x.order, StatusAlive))
	})
}

func TestDeafOrMuteNodeHarmsNobodyElse(t *testing.T) {
	cases := []struct {
		name string
		size int
		cut  func(x *fleet, node, other domain.NodeID)
	}{
		{"deaf", 3, func(x *fleet, node, other domain.NodeID) { x.network.CutOneWay(other, node) }},
		{"deaf", 12, func(x *fleet, node, other domain.NodeID) { x.network.CutOneWay(other, node) }},
		{"mute", 12, func(x *fleet, node, other domain.NodeID) { x.network.CutOneWay(node, other) }},
	}
	for _, c := range cases {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("%s of %d, seed %d", c.name, c.size, seed), func(t *testing.T) {
				inBubble(t, 1, c.size, seeded(seed), func(t *testing.T, x *fleet) {
					node := x.order[c.size/2]
					rest := others(x.order, node)
					for _, other := range rest {
						c.cut(x, node, other)
					}
					blamed := x.watch(rest, rest)
					time.Sleep(30 * time.Second)
					assert.Equal(t, blamed.Load(), int32(0))
					assert.Assert(t, x.all(rest, []domain.NodeID{node}, StatusUnreachable))
					assert.Assert(t, x.all([]domain.NodeID{node}, rest, StatusUnreachable))
					x.network.HealAll()
					x.within(10*time.Second, "back", func() bool { return x.all(x.order, x.order, StatusAlive) })
				})
			})
		}
	}
}

// seeded varies the random choices of a fleet.
func seeded(seed uint64) func(*Options) {
	return func(o *Options) { o.RandomSeed += seed * 1_000_000 }
}

func TestCutBetweenTwoNodesIsBridged(t *testing.T) {
	inBubble(t, 1, 7, nil, func(t *testing.T, x *fleet) {
		x.network.Cut(x.order[0], x.order[1])
		x.network.CutOneWay(x.order[2], x.order[3])
		x.throughout(2*time.Minute, "all alive", func() bool { return x.all(x.order, x.order, StatusAlive) })
	})
}

func TestDataCentresPart(t *testing.T) {
	inBubble(t, 3, 5, nil, func(t *testing.T, x *fleet) {
		cutOff, rest := x.group(0), append(x.group(1), x.group(2)...)
		x.network.Partition(cutOff, rest)
		x.within(11*time.Second, "parted", func() bool {
			return x.all(cutOff, rest, StatusUnreachable) && x.all(rest, cutOff, StatusUnreachable)
		})
		x.throughout(time.Minute, "within a part alive", func() bool { return x.all(cutOff, cutOff, StatusAlive) && x.all(rest, rest, StatusAlive) })
		// While they are parted one node leaves, one is restarted and one crashes.
		leaver, restarted, crashed := cutOff[1], cutOff[2], cutOff[3]
		assert.NilError(t, x.nodes[leaver].Leave(t.Context()))
		x.crash(restarted)
		x.start(lifeOf(dcID(0), 2, 2))
		x.crash(crashed)
		time.Sleep(15 * time.Minute)
		x.network.HealAll()
		x.within(9*time.Second, "met again", func() bool {
			return x.all(x.order, others(x.order, leaver), StatusAlive) &&
				x.all(x.order, []domain.NodeID{leaver}, StatusLeaving) &&
				x.all(x.order, []domain.NodeID{crashed}, StatusUnreachable)
		})
		for _, viewer := range x.order {
			status, ok := x.nodes[viewer].Current().StatusOf(lifeOf(dcID(0), 2, 1))
			assert.Assert(t, ok && status == StatusGone)
		}
	})
}

func TestMissedChangesAreRepaired(t *testing.T) {
	brief := func(o *Options) { o.GoneRetention = 2 * time.Minute }
	inBubble(t, 2, 12, brief, func(t *testing.T, x *fleet) {
		// A node that is cut off misses that one of another data centre leaves, and
		// that one says farewell and is forgotten.
		far := x.group(1)
		var cut domain.NodeID
		for _, node := range x.group(0) {
			if !slices.Contains(x.nodes[node].State().DataCentres[0].Delegates, node) {
				cut = node
			}
		}
		for _, other := range others(x.order, cut) {
			x.network.Cut(cut, other)
		}
		x.list.fail(hostlist.ErrUnavailable)
		time.Sleep(10 * time.Second)
		assert.NilError(t, x.nodes[far[0]].Leave(t.Context()))
		assert.NilError(t, x.nodes[far[1]].AnnounceStopped(t.Context()))
		x.crash(far[1])
		time.Sleep(10 * time.Minute)
		x.network.HealAll()
		x.within(20*time.Second, "repaired", func() bool {
			status, known := x.status(cut, far[1])
			return x.all([]domain.NodeID{cut}, far[:1], StatusLeaving) && (!known || status == StatusGone)
		})
	})
}

func TestDataCentreSplitsAndHeals(t *testing.T) {
	inBubble(t, 1, 24, nil, func(t *testing.T, x *fleet) {
		a, b := x.order[:11], x.order[11:]
		x.network.Partition(a, b)
		x.within(15*time.Second, "parted", func() bool { return x.all(a, b, StatusUnreachable) && x.all(b, a, StatusUnreachable) })
		x.throughout(time.Minute, "halves alive", func() bool { return x.all(a, a, StatusAlive) && x.all(b, b, StatusAlive) })
		x.network.HealAll()
		t.Log("healed after", x.within(15*time.Second, "healed", func() bool { return x.all(x.order, x.order, StatusAlive) }))
	})
}

func TestNewLifeReplacesTheOld(t *testing.T) {
	inBubble(t, 2, 5, nil, func(t *testing.T, x *fleet) {
		old := x.nodes[x.order[0]]
		// The old life is paused, not dead, and wakes when the new one runs.
		x.network.Pause(x.order[0])
		x.start(lifeOf(dcID(0), 0, 2))
		replaced := func() bool {
			for _, viewer := range x.order {
				p, _ := x.nodes[viewer].Current().Peer(x.order[0])
				before, _ := x.nodes[viewer].Current().StatusOf(old.self)
				if p.Incarnation != 2 || p.Status != StatusAlive || before != StatusGone {
					return false
				}
			}
			return true
		}
		x.within(8*time.Second, "replaced", replaced)
		x.network.Resume(x.order[0])
		x.throughout(30*time.Second, "stays replaced", replaced)
		assert.Equal(t, old.Current().SelfStatus(), StatusGone)
		assert.Assert(t, old.State().Replaced)
		old.stop()
	})
}

func TestLeaveAndFarewell(t *testing.T) {
	brief := func(o *Options) { o.GoneRetention = 2 * time.Minute }
	inBubble(t, 2, 6, brief, func(t *testing.T, x *fleet) {
		leaver := x.order[2]
		here := []domain.NodeID{leaver}
		assert.NilError(t, x.nodes[leaver].Leave(t.Context()))
		assert.Assert(t, x.all(x.group(0), here, StatusLeaving))
		assert.Equal(t, x.nodes[leaver].Current().SelfStatus(), StatusLeaving)
		x.within(4*time.Second, "leaving everywhere", func() bool { return x.all(x.order, here, StatusLeaving) })
		// The list still says that it is live, and somebody tells the node so.
		_, err := peer.Call[listedRequest, empty](t.Context(), x.nodes[x.order[0]].transport, x.nodes[leaver].self, methodListed, listedRequest{})
		assert.NilError(t, err)
		x.throughout(time.Minute, "stays leaving", func() bool { return x.all(x.order, here, StatusLeaving) })
		assert.NilError(t, x.nodes[leaver].AnnounceStopped(t.Context()))
		assert.Assert(t, x.all(others(x.group(0), leaver), here, StatusGone))
		x.crash(leaver)
		x.within(4*time.Second, "gone everywhere", func() bool { return x.all(x.order, here, StatusGone) })
		x.list.remove(leaver)
		time.Sleep(6 * time.Minute)
		for _, viewer := range x.order {
			_, known := x.nodes[viewer].Current().Peer(leaver)
			assert.Assert(t, !known)
		}
	})
}

func TestLossMakesNobodyGone(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		inBubble(t, 2, 16, nil, func(t *testing.T, x *fleet) {
			x.network.Intercept(lossy(seed, 10))
			lost, looks := 0, 0
			x.throughout(2*time.Minute, "nobody gone", func() bool {
				for _, viewer := range x.order {
					for _, p := range x.nodes[viewer].Current().Peers {
						looks++
						if p.Status == StatusUnreachable {
							lost++
						}
						if p.Status == StatusGone {
							return false
						}
					}
				}
				return true
			})
			t.Logf("seed %d: %d of %d looks found an unreachable peer", seed, lost, looks)
			assert.Assert(t, lost*1000 < looks)
			x.network.Intercept(nil)
			x.within(10*time.Second, "all alive", func() bool { return x.all(x.order, x.order, StatusAlive) })
		})
	}
}

// lossy loses percent of the messages, the same ones in every run.
func lossy(seed uint64, percent uint64) peertest.Interceptor {
	counts := newCounter()
	return func(from, to domain.NodeID, method peer.Method, reply bool) peertest.Action {
		key := string(from) + " " + string(to) + " " + string(method)
		if reply {
			key += " reply"
		}
		number := counts.next(key)
		return peertest.Action{Drop: xxhash.Sum64String(key+string(rune(number))+string(rune(seed)))%100 < percent}
	}
}

func TestDelegatesAreReplaced(t *testing.T) {
	inBubble(t, 2, 6, nil, func(t *testing.T, x *fleet) {
		for _, node := range x.nodes[x.group(0)[0]].State().DataCentres[0].Delegates {
			x.crash(node)
		}
		x.throughout(20*time.Second, "the other data centre alive", func() bool { return x.all(x.group(0), x.group(1), StatusAlive) })
		crashed := x.group(1)[0]
		x.crash(crashed)
		x.within(11*time.Second, "noticed by the new delegates", func() bool { return x.all(x.group(0), []domain.NodeID{crashed}, StatusUnreachable) })
	})
}

func TestOneReachableNodeKeepsADataCentreUp(t *testing.T) {
	inBubble(t, 2, 4, nil, func(t *testing.T, x *fleet) {
		for _, delegate := range x.group(0) {
			for _, node := range x.group(1)[1:] {
				x.network.Cut(delegate, node)
			}
		}
		x.throughout(2*time.Minute, "all alive", func() bool { return x.all(x.group(0), x.order, StatusAlive) })
	})
}

func TestSubscribersAreTold(t *testing.T) {
	inBubble(t, 1, 3, nil, func(t *testing.T, x *fleet) {
		told := make(chan *Snapshot, 100)
		cancel := x.nodes[x.order[0]].Subscribe(func(s *Snapshot) { told <- s })
		assert.NilError(t, x.nodes[x.order[1]].Leave(t.Context()))
		synctest.Wait()
		assert.Equal(t, len(told), 1)
		status, _ := (<-told).StatusOf(lifeOf(dcID(0), 1, 1))
		assert.Equal(t, status, StatusLeaving)
		cancel()
		x.crash(x.order[1])
		time.Sleep(10 * time.Second)
		assert.Equal(t, len(told), 0)
	})
}
