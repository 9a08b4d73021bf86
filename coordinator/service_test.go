package coordinator

import (
	"context"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/membership"
	"hawthornrill.example/hawthornrill/standin/engine"
)

// takeover is more than a lease's TTL and the time to settle.
const takeover = 3 * time.Minute

func isLoad(c call) bool   { return c.order != nil && c.order.Kind == endpoint.OrderLoad }
func isUnload(c call) bool { return c.order != nil && c.order.Kind == endpoint.OrderUnload }

// confirming suits the reading of an engine that follows another of the same
// instant: the last one before an order.
func confirming(id domain.EndpointID) func(call) bool {
	var last time.Time
	return func(c call) bool {
		if c.id != id || c.order != nil {
			return false
		}
		again := last.Equal(time.Now())
		last = time.Now()
		return again
	}
}

// idleOnes are two engines with two models each, of which nothing is needed: the
// holder will unload one, after ten minutes.
func idleOnes(ignores bool) []runner {
	r := runner{serves: "a b", has: "a b", ignores: ignores}
	return []runner{r, r}
}

var idle = map[string]Load{"a": {}, "b": {}}

func TestHolderDiesInTheMiddleOfAnOrder(t *testing.T) {
	cases := []struct {
		name  string
		fault callFault
		// orders are those that arrive.
		orders int
	}{{"before it arrived", callFault{lost: true}, 2}, {"after it arrived", callFault{answerLost: true}, 2}}
	for _, c := range cases {
		for _, ignores := range []bool{false, true} {
			inFleet(t, []runner{{serves: "a", ignores: ignores}}, func(f *fleet) {
				time.Sleep(takeover)
				var dead *fleetNode
				for _, n := range f.nodes {
					n.onCalls(func(made call) callFault {
						if dead != nil || !isLoad(made) {
							return callFault{}
						}
						dead = n
						n.client.SetDown(true)
						n.end()
						return c.fault
					})
				}
				f.engines["e1"].Crash()
				time.Sleep(2 * takeover)
				assert.Assert(t, f.holder() == f.other(dead), c.name)
				f.serves("e1", "a")
				assert.Equal(t, len(f.orders("e1")), c.orders, c.name)
			})
		}
	}
}

// TestPausedHolderWakesLate stops the holder for two minutes, before it looks at
// its lease and after.
func TestPausedHolderWakesLate(t *testing.T) {
	for _, ignores := range []bool{false, true} {
		inFleet(t, []runner{{serves: "a", ignores: ignores}, {serves: "a"}}, func(f *fleet) {
			time.Sleep(takeover)
			old := f.holder()
			old.onCalls(once(1, confirming("e1"), func() callFault { return old.pause(2 * time.Minute) }))
			f.engines["e1"].Crash()
			time.Sleep(2 * takeover)
			assert.Assert(t, f.holder() == f.other(old))
			f.serves("e1", "a")
			orders := f.orders("e1")
			assert.Equal(t, len(orders), 2, "%v", orders)
			assert.Assert(t, orders[1].Order.Fence > orders[0].Order.Fence)
		})
		inFleet(t, idleOnes(ignores), func(f *fleet) {
			f.need(idle)
			time.Sleep(takeover)
			old := f.holder()
			fence := old.Dump().Led[0].Fence
			old.onCalls(once(1, isUnload, func() callFault { return old.pause(2 * time.Minute) }))
			time.Sleep(2 * takeover)
			assert.Equal(t, len(f.orders("e1")), 0)
			time.Sleep(2 * takeover)
			assert.Assert(t, f.holder() == f.other(old))
			late := f.orders("e1")[0]
			assert.Equal(t, late.Order.Fence, fence)
			assert.Equal(t, late.Applied, ignores)
			if ignores {
				// Noticed and corrected within a period.
				again := f.orders("e1")[1]
				assert.Equal(t, again.Order.Kind, endpoint.OrderLoad)
				assert.Assert(t, again.At.Sub(late.At) <= 5*time.Second)
			}
			f.serves("e1", "a", "b")
		})
	}
}

// TestOrderUnderWayArrivesBeforeTheNextHolders delays the order of a holder that is
// gone, on its way to an engine that ignores fencing numbers, by as much as the
// next holder waits for: the margin and the time to settle.
func TestOrderUnderWayArrivesBeforeTheNextHolders(t *testing.T) {
	inFleet(t, []runner{{serves: "a", ignores: true}, {serves: "a"}}, func(f *fleet) {
		time.Sleep(takeover)
		old := f.holder()
		fence := old.Dump().Led[0].Fence
		old.onCalls(once(1, isLoad, func() callFault { return old.pause(44 * time.Second) }))
		f.engines["e1"].Crash()
		time.Sleep(2 * takeover)
		f.serves("e1", "a")
		orders := f.orders("e1")
		assert.Equal(t, orders[1].Order.Fence, fence)
		for _, r := range orders {
			assert.Assert(t, !r.Stale, "%v", orders)
		}
	})
}

func TestOnlyOneHolderGivesOrders(t *testing.T) {
	inFleet(t, []runner{{serves: "a"}, {serves: "a", ignores: true}, {serves: "a b"}, {serves: "b"}}, func(f *fleet) {
		for i := range 40 {
			n := f.nodes[i%2]
			n.client.SetDown(i%3 != 0)
			f.engines[domain.EndpointID([]string{"e1", "e2", "e3", "e4"}[i%4])].Crash()
			time.Sleep(time.Duration(10+7*(i%5)) * time.Second)
		}
		for _, n := range f.nodes {
			n.client.SetDown(false)
		}
		time.Sleep(takeover)
		for id := range f.engines {
			for _, r := range f.engines[id].OrderLog() {
				assert.Assert(t, !r.Stale, "%s: %v", id, r)
			}
		}
		for _, id := range []domain.EndpointID{"e1", "e2"} {
			f.serves(id, "a")
		}
	})
}

func TestStoreDown(t *testing.T) {
	inFleet(t, []runner{{serves: "a"}, {serves: "a"}}, func(f *fleet) {
		time.Sleep(takeover)
		f.store.SetDown(true)
		f.engines["e1"].Crash()
		time.Sleep(15 * time.Second)
		assert.Equal(t, len(f.orders("e1")), 2) // The lease was still held.
		time.Sleep(time.Minute)
		assert.Assert(t, f.holder() == nil)
		f.engines["e1"].Crash()
		time.Sleep(10 * time.Minute)
		assert.Equal(t, len(f.orders("e1")), 2)
		f.store.SetDown(false)
		time.Sleep(takeover)
		f.serves("e1", "a")
		assert.Equal(t, len(f.orders("e1")), 3)
	})
}

func TestOrdersAreReadBack(t *testing.T) {
	cases := []struct {
		name  string
		fault callFault
		// tries are the loads that were given after a restart, orders those that
		// ever arrived.
		tries, orders int
	}{
		{"sound", callFault{}, 1, 2},
		{"answer lost", callFault{answerLost: true}, 1, 2},
		{"order lost", callFault{lost: true}, 2, 2},
		{"order lost after its timeout", callFault{lost: true, hold: 3 * time.Second}, 2, 2},
	}
	for _, c := range cases {
		inFleet(t, []runner{{serves: "a"}}, func(f *fleet) {
			time.Sleep(takeover)
			tries := 0
			var first time.Time
			for _, n := range f.nodes {
				n.onCalls(func(made call) callFault {
					if !isLoad(made) {
						return callFault{}
					}
					tries++
					if tries == 1 {
						first = time.Now()
						return c.fault
					}
					// The lost one may still be on its way for as long again.
					assert.Check(t, time.Since(first) >= c.fault.hold+3*time.Second, c.name)
					return callFault{}
				})
			}
			f.engines["e1"].Crash()
			time.Sleep(takeover)
			f.serves("e1", "a")
			assert.Equal(t, tries, c.tries, c.name)
			assert.Equal(t, len(f.orders("e1")), c.orders, c.name)
		})
	}
}

// TestEngineForgets restarts an engine, which is told again, and fenced again.
func TestEngineForgets(t *testing.T) {
	inFleet(t, []runner{{serves: "a"}, {serves: "a"}}, func(f *fleet) {
		time.Sleep(takeover)
		f.engines["e1"].Crash()
		time.Sleep(time.Minute)
		f.serves("e1", "a")
		state, err := f.engines["e1"].State(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, state.Fence, f.holder().Dump().Led[0].Fence)
		assert.Equal(t, len(f.orders("e1")), 2)
		assert.Equal(t, len(f.orders("e2")), 1)
	})
}

// TestOvertakenHolderStepsDown lets an engine obey a greater number: the holder
// stops, and comes back with a greater one still.
func TestOvertakenHolderStepsDown(t *testing.T) {
	for _, ignores := range []bool{false, true} {
		inFleet(t, []runner{{serves: "a", ignores: ignores}, {serves: "a"}}, func(f *fleet) {
			unload := func(fence uint64) {
				order := endpoint.Order{Fence: fence, Kind: endpoint.OrderUnload, Model: "a"}
				assert.NilError(t, f.engines["e1"].Order(t.Context(), order))
			}
			time.Sleep(takeover)
			revision, err := f.store.NewClient().CompareAndSwap(t.Context(), "other", 0, nil, 0)
			assert.NilError(t, err)
			assert.Assert(t, uint64(revision) > f.holder().Dump().Led[0].Fence)
			unload(uint64(revision))
			time.Sleep(takeover)
			f.serves("e1", "a")
			assert.Assert(t, f.holder().Dump().Led[0].Fence > uint64(revision))
			// A greater number is a later holder's word also if nothing is to be done.
			fence := f.holder().Dump().Led[0].Fence + 1
			role := endpoint.Order{Fence: fence, Kind: endpoint.OrderSetRole, Role: endpoint.RoleMixed}
			assert.NilError(t, f.engines["e1"].Order(t.Context(), role))
			time.Sleep(takeover)
			assert.Assert(t, f.holder().Dump().Led[0].Fence > fence)
			before := f.store.Counts()
			unload(1 << 40)
			time.Sleep(10 * time.Minute)
			f.serves("e1")
			after := f.store.Counts()
			calls := after.Writes + after.Reads + after.Watches - before.Writes - before.Reads - before.Watches
			assert.Assert(t, calls < 600, "%d calls in ten minutes", calls)
		})
	}
}

// TestRefusedHolderStopsAtOnce lets an engine obey a greater number after it was
// read, before the order.
func TestRefusedHolderStopsAtOnce(t *testing.T) {
	inFleet(t, []runner{{serves: "a"}, {serves: "a"}}, func(f *fleet) {
		time.Sleep(takeover)
		old := f.holder()
		raised := make(chan struct{})
		old.onCalls(once(1, isLoad, func() callFault {
			role := endpoint.Order{Fence: 1 << 40, Kind: endpoint.OrderSetRole, Role: endpoint.RoleMixed}
			_ = f.engines["e1"].Order(context.Background(), role)
			close(raised)
			return callFault{}
		}))
		f.engines["e1"].Crash()
		<-raised
		time.Sleep(time.Millisecond)
		assert.Equal(t, len(old.Dump().Led), 0)
	})
}

func TestLeavingNodeGivesTheLeaseUp(t *testing.T) {
	inFleet(t, []runner{{serves: "a"}}, func(f *fleet) {
		time.Sleep(takeover)
		old := f.holder()
		peers := slices.Clone(f.Current().Peers)
		for i := range peers {
			if peers[i].Member == old.options.Transport.Self() {
				peers[i].Status = membership.StatusLeaving
			}
		}
		f.members.Store(&membership.Snapshot{Peers: peers})
		time.Sleep(10 * time.Second)
		assert.Assert(t, f.holder() == f.other(old))
		assert.Equal(t, len(old.Dump().Campaigns), 0)
	})
}

// TestNeedlessOrderIsNotGiven loads an engine by another hand while the holder is
// busy with the engine before it.
func TestNeedlessOrderIsNotGiven(t *testing.T) {
	inFleet(t, []runner{{serves: "a", ignores: true}, {serves: "a", ignores: true}}, func(f *fleet) {
		time.Sleep(takeover)
		f.holder().onCalls(once(1, isLoad, func() callFault {
			_ = f.engines["e2"].Order(context.Background(), endpoint.Order{Kind: endpoint.OrderLoad, Model: "a"})
			return callFault{}
		}))
		f.engines["e1"].Crash()
		f.engines["e2"].Crash()
		time.Sleep(takeover)
		f.serves("e1", "a")
		f.serves("e2", "a")
		assert.Equal(t, len(f.orders("e1")), 2)
		assert.Equal(t, len(f.orders("e2")), 2)
	})
}

// TestDemandReachesTheHolder has the pools at the other node.
func TestDemandReachesTheHolder(t *testing.T) {
	inFleet(t, idleOnes(false), func(f *fleet) {
		time.Sleep(takeover)
		holder, other := f.holder(), f.other(f.holder())
		assert.Equal(t, len(holder.board.current(time.Now())), 0)
		other.mu.Lock()
		other.loads = idle
		other.mu.Unlock()
		time.Sleep(15 * time.Minute)
		assert.Assert(t, f.holder() == holder)
		assert.Equal(t, len(f.orders("e1")), 1)
		other.end()
		time.Sleep(time.Minute)
		assert.Equal(t, len(holder.board.current(time.Now())), 0)
	})
}

// TestUnloadIsConfirmedByAWitness takes the other runner away between the reading of
// the engines and the order.
func TestUnloadIsConfirmedByAWitness(t *testing.T) {
	inFleet(t, idleOnes(false), func(f *fleet) {
		f.need(idle)
		time.Sleep(9 * time.Minute)
		for _, n := range f.nodes {
			n.onCalls(once(1, confirming("e1"), func() callFault {
				f.engines["e2"].SetFaults(engine.Faults{Refuse: true})
				return callFault{}
			}))
		}
		time.Sleep(3 * time.Minute)
		assert.Equal(t, len(f.orders("e1")), 0)
		f.serves("e1", "a", "b")
	})
}

func TestCandidatesAndGroups(t *testing.T) {
	var members membership.Snapshot
	add := func(node, dc string, status membership.Status) {
		m := domain.Member{Node: domain.NodeID(node), DataCentre: domain.DataCentre(dc)}
		members.Peers = append(members.Peers, membership.Peer{Member: m, Status: status})
	}
	for _, n := range []string{"1", "2", "3", "4", "5", "6", "7"} {
		add("p"+n, "p", membership.StatusAlive)
	}
	add("q1", "q", membership.StatusAlive)
	add("r1", "r", membership.StatusLeaving)
	add("s1", "s", membership.StatusUnreachable)
	firsts := make(map[domain.NodeID]bool)
	for _, group := range []string{"a", "b", "c", "d", "e", "f"} {
		chosen := candidates(group, &members, 3)
		assert.Equal(t, len(chosen), 3)
		centres := make(map[domain.DataCentre]int)
		for _, m := range chosen {
			centres[m.DataCentre]++
		}
		assert.DeepEqual(t, centres, map[domain.DataCentre]int{"p": 2, "q": 1})
		firsts[chosen[0].Node] = true
	}
	assert.Assert(t, len(firsts) > 1)

	inFleet(t, []runner{{serves: "c"}, {serves: "b a"}, {serves: "d"}, {serves: "c b"}}, func(f *fleet) {
		l := newLayout(f.table.Current())
		assert.Equal(t, len(l.groups), 2)
		assert.DeepEqual(t, l.byModel["c"].models, []string{"a", "b", "c"})
		assert.Equal(t, l.byModel["c"].name, "a")
		assert.Equal(t, len(l.byModel["a"].rows), 3)
		assert.DeepEqual(t, l.byModel["d"].models, []string{"d"})
	})
}
