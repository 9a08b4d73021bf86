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

// takeoverTime exceeds the TTL of a lease plus the settle time.
const takeoverTime = 3 * time.Minute

func isLoad(c call) bool   { return c.order != nil && c.order.Kind == endpoint.OrderLoad }
func isUnload(c call) bool { return c.order != nil && c.order.Kind == endpoint.OrderUnload }

// isConfirmingRead returns a predicate for the second state read of an engine at
// one instant: the read right before an order.
func isConfirmingRead(id domain.EndpointID) func(call) bool {
	var last time.Time
	return func(c call) bool {
		if c.id != id || c.order != nil {
			return false
		}
		sameInstant := last.Equal(time.Now())
		last = time.Now()
		return sameInstant
	}
}

// idleEngines returns two engines with two models each and no demand: the holder
// unloads one model after ten minutes.
func idleEngines(ignores bool) []engineSpec {
	r := engineSpec{serves: "a b", loaded: "a b", ignoresFencing: ignores}
	return []engineSpec{r, r}
}

var zeroDemand = map[string]ModelDemand{"a": {}, "b": {}}

func TestHolderCrashesDuringOrder(t *testing.T) {
	cases := []struct {
		name  string
		fault callFault
		// orders is the number of orders that arrive.
		orders int
	}{{"order lost", callFault{lost: true}, 2}, {"answer lost", callFault{answerLost: true}, 2}}
	for _, c := range cases {
		for _, ignores := range []bool{false, true} {
			runFleetTest(t, []engineSpec{{serves: "a", ignoresFencing: ignores}}, func(f *fleet) {
				time.Sleep(takeoverTime)
				var crashed *fleetNode
				for _, n := range f.nodes {
					n.setCallFaults(func(attempt call) callFault {
						if crashed != nil || !isLoad(attempt) {
							return callFault{}
						}
						crashed = n
						n.client.SetDown(true)
						n.cancel()
						return c.fault
					})
				}
				f.engines["e1"].Crash()
				time.Sleep(2 * takeoverTime)
				assert.Assert(t, f.holder() == f.otherNode(crashed), c.name)
				f.assertServes("e1", "a")
				assert.Equal(t, len(f.orders("e1")), c.orders, c.name)
			})
		}
	}
}

// TestHolderPausedBeyondLeaseExpiry pauses the holder for two minutes, before its
// check of the lease and after it. The late order must be refused by an engine that
// checks fencing numbers and corrected on one that ignores them.
func TestHolderPausedBeyondLeaseExpiry(t *testing.T) {
	for _, ignores := range []bool{false, true} {
		runFleetTest(t, []engineSpec{{serves: "a", ignoresFencing: ignores}, {serves: "a"}}, func(f *fleet) {
			time.Sleep(takeoverTime)
			old := f.holder()
			old.setCallFaults(onNthCall(1, isConfirmingRead("e1"), func() callFault { return old.pause(2 * time.Minute) }))
			f.engines["e1"].Crash()
			time.Sleep(2 * takeoverTime)
			assert.Assert(t, f.holder() == f.otherNode(old))
			f.assertServes("e1", "a")
			orders := f.orders("e1")
			assert.Equal(t, len(orders), 2, "%v", orders)
			assert.Assert(t, orders[1].Order.Fence > orders[0].Order.Fence)
		})
		runFleetTest(t, idleEngines(ignores), func(f *fleet) {
			f.setDemand(zeroDemand)
			time.Sleep(takeoverTime)
			old := f.holder()
			fence := old.Dump().Led[0].Fence
			old.setCallFaults(onNthCall(1, isUnload, func() callFault { return old.pause(2 * time.Minute) }))
			time.Sleep(2 * takeoverTime)
			assert.Equal(t, len(f.orders("e1")), 0)
			time.Sleep(2 * takeoverTime)
			assert.Assert(t, f.holder() == f.otherNode(old))
			lateOrder := f.orders("e1")[0]
			assert.Equal(t, lateOrder.Order.Fence, fence)
			assert.Equal(t, lateOrder.Applied, ignores)
			if ignores {
				// Detected and corrected within a period.
				correction := f.orders("e1")[1]
				assert.Equal(t, correction.Order.Kind, endpoint.OrderLoad)
				assert.Assert(t, correction.At.Sub(lateOrder.At) <= 5*time.Second)
			}
			f.assertServes("e1", "a", "b")
		})
	}
}

// TestDelayedOrderArrivesBeforeOrdersOfNextHolder delays the last order of a failed
// holder, to an engine that ignores fencing numbers, by the time that the next
// holder waits: the lease margin plus the settle time.
func TestDelayedOrderArrivesBeforeOrdersOfNextHolder(t *testing.T) {
	runFleetTest(t, []engineSpec{{serves: "a", ignoresFencing: true}, {serves: "a"}}, func(f *fleet) {
		time.Sleep(takeoverTime)
		old := f.holder()
		fence := old.Dump().Led[0].Fence
		old.setCallFaults(onNthCall(1, isLoad, func() callFault { return old.pause(44 * time.Second) }))
		f.engines["e1"].Crash()
		time.Sleep(2 * takeoverTime)
		f.assertServes("e1", "a")
		orders := f.orders("e1")
		assert.Equal(t, orders[1].Order.Fence, fence)
		for _, r := range orders {
			assert.Assert(t, !r.Stale, "%v", orders)
		}
	})
}

func TestOnlyOneHolderSendsOrders(t *testing.T) {
	runFleetTest(t, []engineSpec{{serves: "a"}, {serves: "a", ignoresFencing: true}, {serves: "a b"}, {serves: "b"}}, func(f *fleet) {
		for i := range 40 {
			n := f.nodes[i%2]
			n.client.SetDown(i%3 != 0)
			f.engines[domain.EndpointID([]string{"e1", "e2", "e3", "e4"}[i%4])].Crash()
			time.Sleep(time.Duration(10+7*(i%5)) * time.Second)
		}
		for _, n := range f.nodes {
			n.client.SetDown(false)
		}
		time.Sleep(takeoverTime)
		for id := range f.engines {
			for _, r := range f.engines[id].OrderLog() {
				assert.Assert(t, !r.Stale, "%s: %v", id, r)
			}
		}
		for _, id := range []domain.EndpointID{"e1", "e2"} {
			f.assertServes(id, "a")
		}
	})
}

func TestStoreDown(t *testing.T) {
	runFleetTest(t, []engineSpec{{serves: "a"}, {serves: "a"}}, func(f *fleet) {
		time.Sleep(takeoverTime)
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
		time.Sleep(takeoverTime)
		f.assertServes("e1", "a")
		assert.Equal(t, len(f.orders("e1")), 3)
	})
}

func TestOrdersAreReadBack(t *testing.T) {
	cases := []struct {
		name  string
		fault callFault
		// tries is the number of loads sent after a restart, orders the number that
		// ever arrived.
		tries, orders int
	}{
		{"no fault", callFault{}, 1, 2},
		{"answer lost", callFault{answerLost: true}, 1, 2},
		{"order lost", callFault{lost: true}, 2, 2},
		{"order lost after its timeout", callFault{lost: true, delay: 3 * time.Second}, 2, 2},
	}
	for _, c := range cases {
		runFleetTest(t, []engineSpec{{serves: "a"}}, func(f *fleet) {
			time.Sleep(takeoverTime)
			tries := 0
			var first time.Time
			for _, n := range f.nodes {
				n.setCallFaults(func(attempt call) callFault {
					if !isLoad(attempt) {
						return callFault{}
					}
					tries++
					if tries == 1 {
						first = time.Now()
						return c.fault
					}
					// The lost order may still arrive for this long.
					assert.Check(t, time.Since(first) >= c.fault.delay+3*time.Second, c.name)
					return callFault{}
				})
			}
			f.engines["e1"].Crash()
			time.Sleep(takeoverTime)
			f.assertServes("e1", "a")
			assert.Equal(t, tries, c.tries, c.name)
			assert.Equal(t, len(f.orders("e1")), c.orders, c.name)
		})
	}
}

// TestRestartedEngineIsLoadedAndFencedAgain restarts an engine, which loses its
// models and its fencing number.
func TestRestartedEngineIsLoadedAndFencedAgain(t *testing.T) {
	runFleetTest(t, []engineSpec{{serves: "a"}, {serves: "a"}}, func(f *fleet) {
		time.Sleep(takeoverTime)
		f.engines["e1"].Crash()
		time.Sleep(time.Minute)
		f.assertServes("e1", "a")
		state, err := f.engines["e1"].State(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, state.Fence, f.holder().Dump().Led[0].Fence)
		assert.Equal(t, len(f.orders("e1")), 2)
		assert.Equal(t, len(f.orders("e2")), 1)
	})
}

// TestSupersededHolderStepsDown makes an engine accept a greater fencing number:
// the holder must step down and come back with a greater number still.
func TestSupersededHolderStepsDown(t *testing.T) {
	for _, ignores := range []bool{false, true} {
		runFleetTest(t, []engineSpec{{serves: "a", ignoresFencing: ignores}, {serves: "a"}}, func(f *fleet) {
			unload := func(fence uint64) {
				order := endpoint.Order{Fence: fence, Kind: endpoint.OrderUnload, Model: "a"}
				assert.NilError(t, f.engines["e1"].Order(t.Context(), order))
			}
			time.Sleep(takeoverTime)
			revision, err := f.store.NewClient().CompareAndSwap(t.Context(), "other", 0, nil, 0)
			assert.NilError(t, err)
			assert.Assert(t, uint64(revision) > f.holder().Dump().Led[0].Fence)
			unload(uint64(revision))
			time.Sleep(takeoverTime)
			f.assertServes("e1", "a")
			assert.Assert(t, f.holder().Dump().Led[0].Fence > uint64(revision))
			// A greater number means a later holder even if there is no order to
			// send.
			fence := f.holder().Dump().Led[0].Fence + 1
			role := endpoint.Order{Fence: fence, Kind: endpoint.OrderSetRole, Role: endpoint.RoleMixed}
			assert.NilError(t, f.engines["e1"].Order(t.Context(), role))
			time.Sleep(takeoverTime)
			assert.Assert(t, f.holder().Dump().Led[0].Fence > fence)
			before := f.store.Counts()
			unload(1 << 40)
			time.Sleep(10 * time.Minute)
			f.assertServes("e1")
			after := f.store.Counts()
			calls := after.Writes + after.Reads + after.Watches - before.Writes - before.Reads - before.Watches
			assert.Assert(t, calls < 600, "%d calls in ten minutes", calls)
		})
	}
}

// TestHolderStopsOnStaleFenceError makes an engine accept a greater fencing number
// between the state read and the order.
func TestHolderStopsOnStaleFenceError(t *testing.T) {
	runFleetTest(t, []engineSpec{{serves: "a"}, {serves: "a"}}, func(f *fleet) {
		time.Sleep(takeoverTime)
		old := f.holder()
		raised := make(chan struct{})
		old.setCallFaults(onNthCall(1, isLoad, func() callFault {
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

func TestLeavingNodeReleasesLease(t *testing.T) {
	runFleetTest(t, []engineSpec{{serves: "a"}}, func(f *fleet) {
		time.Sleep(takeoverTime)
		old := f.holder()
		peers := slices.Clone(f.Current().Peers)
		for i := range peers {
			if peers[i].Member == old.options.Transport.Self() {
				peers[i].Status = membership.StatusLeaving
			}
		}
		f.members.Store(&membership.Snapshot{Peers: peers})
		time.Sleep(10 * time.Second)
		assert.Assert(t, f.holder() == f.otherNode(old))
		assert.Equal(t, len(old.Dump().Campaigns), 0)
	})
}

// TestUnneededOrderIsNotSent loads a model on an engine by another client while the
// holder is busy with the previous engine.
func TestUnneededOrderIsNotSent(t *testing.T) {
	runFleetTest(t, []engineSpec{{serves: "a", ignoresFencing: true}, {serves: "a", ignoresFencing: true}}, func(f *fleet) {
		time.Sleep(takeoverTime)
		f.holder().setCallFaults(onNthCall(1, isLoad, func() callFault {
			_ = f.engines["e2"].Order(context.Background(), endpoint.Order{Kind: endpoint.OrderLoad, Model: "a"})
			return callFault{}
		}))
		f.engines["e1"].Crash()
		f.engines["e2"].Crash()
		time.Sleep(takeoverTime)
		f.assertServes("e1", "a")
		f.assertServes("e2", "a")
		assert.Equal(t, len(f.orders("e1")), 2)
		assert.Equal(t, len(f.orders("e2")), 2)
	})
}

// TestDemandReachesTheHolder reports the demand from the node that does not hold
// the lease.
func TestDemandReachesTheHolder(t *testing.T) {
	runFleetTest(t, idleEngines(false), func(f *fleet) {
		time.Sleep(takeoverTime)
		holder, other := f.holder(), f.otherNode(f.holder())
		assert.Equal(t, len(holder.demand.current(time.Now())), 0)
		other.mu.Lock()
		other.modelDemand = zeroDemand
		other.mu.Unlock()
		time.Sleep(15 * time.Minute)
		assert.Assert(t, f.holder() == holder)
		assert.Equal(t, len(f.orders("e1")), 1)
		other.cancel()
		time.Sleep(time.Minute)
		assert.Equal(t, len(holder.demand.current(time.Now())), 0)
	})
}

// TestUnloadRequiresAnotherReadyReplica makes the other replica unavailable between
// the planning of an unload and the order.
func TestUnloadRequiresAnotherReadyReplica(t *testing.T) {
	runFleetTest(t, idleEngines(false), func(f *fleet) {
		f.setDemand(zeroDemand)
		time.Sleep(9 * time.Minute)
		for _, n := range f.nodes {
			n.setCallFaults(onNthCall(1, isConfirmingRead("e1"), func() callFault {
				f.engines["e2"].SetFaults(engine.Faults{Refuse: true})
				return callFault{}
			}))
		}
		time.Sleep(3 * time.Minute)
		assert.Equal(t, len(f.orders("e1")), 0)
		f.assertServes("e1", "a", "b")
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
	firstNodes := make(map[domain.NodeID]bool)
	for _, group := range []string{"a", "b", "c", "d", "e", "f"} {
		chosen := candidates(group, &members, 3)
		assert.Equal(t, len(chosen), 3)
		perDC := make(map[domain.DataCentre]int)
		for _, m := range chosen {
			perDC[m.DataCentre]++
		}
		assert.DeepEqual(t, perDC, map[domain.DataCentre]int{"p": 2, "q": 1})
		firstNodes[chosen[0].Node] = true
	}
	assert.Assert(t, len(firstNodes) > 1)

	runFleetTest(t, []engineSpec{{serves: "c"}, {serves: "b a"}, {serves: "d"}, {serves: "c b"}}, func(f *fleet) {
		l := newLayout(f.table.Current())
		assert.Equal(t, len(l.groups), 2)
		assert.DeepEqual(t, l.byModel["c"].models, []string{"a", "b", "c"})
		assert.Equal(t, l.byModel["c"].name, "a")
		assert.Equal(t, len(l.byModel["a"].rows), 3)
		assert.DeepEqual(t, l.byModel["d"].models, []string{"d"})
	})
}
