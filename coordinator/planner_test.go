package coordinator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint"
)

// TestPlan checks the orders planned within half an hour.
func TestPlan(t *testing.T) {
	cases := []struct {
		name string
		sim  *sim
		want []string
	}{
		{"no demand, no orders", newSim(PlanOptions{}, testEngine("e1", "p", "a*", "b"), testEngine("e2", "p", "a", "b*")).
			setDemand("a", "p", 0, 0).setDemand("b", "p", 0, 0), nil},
		{"a single-model engine is loaded", newSim(PlanOptions{}, testEngine("e1", "p", "a")), []string{"load a e1"}},
		{"a model without a replica gets one", newSim(PlanOptions{}, testEngine("e1", "p", "a", "b")), []string{"load a e1"}},
		{"a spare replica is replaced by a needed model", newSim(PlanOptions{}, testEngine("e1", "p", "a*", "b"), testEngine("e2", "p", "a*", "b"), testEngine("e3", "p", "a", "b*")).
			setDemand("a", "p", 0, 0).setDemand("b", "p", 9, 0), []string{"unload a e1", "load b e1"}},
		{"a busy replica is not replaced", newSim(PlanOptions{}, testEngine("e1", "p", "a*", "b"), testEngine("e2", "p", "a*", "b"), testEngine("e3", "p", "a", "b*")).
			setDemand("a", "p", 0, 3000).setDemand("b", "p", 9, 0), nil},
		{"unknown demand is not treated as zero", newSim(PlanOptions{}, testEngine("e1", "p", "a*", "b"), testEngine("e2", "p", "a*", "b"), testEngine("e3", "p", "a", "b*")).
			setDemand("b", "p", 9, 0), nil},
		{"the last replica is kept", newSim(PlanOptions{}, testEngine("e1", "p", "a*", "b"), testEngine("e2", "p", "a", "b*")).
			setDemand("a", "p", 0, 0).setDemand("b", "p", 9, 0), nil},
		{"the last replica in a data centre without demand is unloaded", newSim(PlanOptions{}, testEngine("e1", "p", "a*", "b"), testEngine("e2", "q", "a*", "b*")).
			setDemand("a", "p", 0, 0).setDemand("a", "q", 0, 9).setDemand("b", "p", 9, 0), []string{"unload a e1", "load b e1"}},
		{"the last replica in a data centre with demand is kept", newSim(PlanOptions{}, testEngine("e1", "p", "a*", "b"), testEngine("e2", "q", "a*", "b*")).
			setDemand("a", "p", 0, 9).setDemand("a", "q", 0, 9).setDemand("b", "p", 9, 0), nil},
		{"an unneeded model next to another is unloaded", newSim(PlanOptions{}, testEngine("e1", "p", "a*", "b*"), testEngine("e2", "p", "a", "b*")).
			setDemand("a", "p", 0, 0).setDemand("b", "p", 0, 0), []string{"unload b e1"}},
		{"a draining engine gets no orders and does not count as a replica", newSim(PlanOptions{}, withDrain(testEngine("e1", "p", "a*", "b")), testEngine("e2", "p", "a", "b")).
			setDemand("a", "p", 0, 0).setDemand("b", "p", 0, 0), []string{"load a e2"}},
		{"a draining engine is not loaded", newSim(PlanOptions{}, withDrain(testEngine("e1", "p", "a"))), nil},
		{"an engine that may not be sent orders gets none", newSim(PlanOptions{}, withOrdersBlocked(testEngine("e1", "p", "a"))), nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.DeepEqual(t, c.sim.run(30*time.Minute), c.want)
			c.sim.assertNoViolation(t)
		})
	}
}

func withDrain(e Engine) Engine         { e.Drain = true; return e }
func withOrdersBlocked(e Engine) Engine { e.OrdersAllowed = false; return e }

func TestOscillatingDemandCausesNoChanges(t *testing.T) {
	s := newSim(PlanOptions{}, testEngine("e1", "p", "a*", "b"), testEngine("e2", "p", "a*", "b"), testEngine("e3", "p", "a", "b*"), testEngine("e4", "p", "a", "b*"))
	for i := range 120 {
		busy, idle := "a", "b"
		if i%2 == 1 {
			busy, idle = idle, busy
		}
		s.setDemand(busy, "p", 9, 9000).setDemand(idle, "p", 0, 0).run(2 * time.Minute)
	}
	assert.Equal(t, len(s.steps), 0)
	s.setDemand("a", "p", 9, 9000).setDemand("b", "p", 0, 0)
	assert.DeepEqual(t, s.run(time.Hour), []string{"unload b e3", "load a e3"})
	s.assertNoViolation(t)
}

func TestShortOverloadIsIgnored(t *testing.T) {
	s := newSim(PlanOptions{}, testEngine("e1", "p", "a*"), testEngine("e2", "p", "a", "b"), testEngine("e3", "p", "b*"))
	s.setDemand("a", "p", 0, 0).run(time.Minute)
	s.setDemand("a", "p", 9, 0).run(25 * time.Second)
	s.setDemand("a", "p", 0, 0).run(time.Minute)
	assert.Equal(t, len(s.steps), 0)
	assert.DeepEqual(t, s.setDemand("a", "p", 9, 0).run(time.Minute), []string{"load a e2"})
}

func TestOneChangePerModelAtATime(t *testing.T) {
	s := newSim(PlanOptions{}, testEngine("e1", "p", "a*", "b"), testEngine("e2", "p", "a", "b"), testEngine("e3", "p", "a", "b"), testEngine("e4", "p", "b*"))
	s.loadTime = 5 * time.Minute
	s.setDemand("a", "p", 99, 0)
	assert.DeepEqual(t, s.run(5*time.Minute), []string{"load a e2"})
	assert.DeepEqual(t, s.run(2*time.Minute), []string{"load a e3"})
}

func TestChangeIntervalIsKept(t *testing.T) {
	s := newSim(PlanOptions{ScaleUpDelay: simPeriod}, testEngine("e1", "p", "a*", "b"), testEngine("e2", "p", "a", "b"), testEngine("e3", "p", "a", "b"), testEngine("e4", "p", "b*"))
	s.loadTime = 0
	s.setDemand("a", "p", 99, 0)
	assert.DeepEqual(t, s.run(time.Minute), []string{"load a e2"})
	assert.DeepEqual(t, s.run(time.Minute), []string{"load a e3"})
}

func TestConcurrentLoadsAndLoadRateAreBounded(t *testing.T) {
	var engines []Engine
	for i := range 12 {
		engines = append(engines, testEngine(string(rune('a'+i)), "p", "m"))
	}
	s := newSim(PlanOptions{MaxConcurrentLoads: 3}, engines...)
	s.loadTime = time.Minute
	assert.Equal(t, len(s.run(4*time.Minute+simPeriod)), 12)
	assert.Equal(t, s.maxLoading, 3)
	for i := range engines {
		s.restartEngine(i)
	}
	s.loadTime, s.budget = 0, NewLoadRateLimit(2, 1)
	assert.Equal(t, len(s.run(3*time.Minute)), 6)
}

func TestFailedLoadMovesToAnotherEngine(t *testing.T) {
	s := newSim(PlanOptions{}, testEngine("e1", "p", "a", "b"), testEngine("e2", "p", "a", "b"), testEngine("e3", "p", "b*"))
	s.failing["e1"] = true
	s.run(11 * time.Minute)
	assert.Assert(t, s.engines[1].ready("a"))
	assert.DeepEqual(t, s.planner.Target("e1"), []string(nil))
}

func TestUnexpectedModelsAreCorrected(t *testing.T) {
	s := newSim(PlanOptions{}, testEngine("e1", "p", "a*", "b"), testEngine("e2", "p", "a", "b*"), testEngine("e3", "p", "a", "b*"))
	s.setDemand("a", "p", 0, 9).setDemand("b", "p", 0, 9)
	assert.Equal(t, len(s.run(simPeriod)), 0)
	// A late order has loaded b on e1 and unloaded a.
	s.engines[0].State.Models = []endpoint.ModelState{{Model: "b", Ready: true}}
	assert.DeepEqual(t, s.run(simPeriod), []string{"unload b e1", "load a e1"})
	// An unexpected model that is the only replica is kept.
	s.run(time.Minute)
	s.engines[1].State.Models, s.engines[2].State.Models = nil, nil
	s.engines[1].Known, s.engines[2].Known = false, false
	s.engines[0].State.Models = []endpoint.ModelState{{Model: "a", Ready: true}, {Model: "b", Ready: true}}
	assert.Equal(t, len(s.run(time.Minute)), 0)
	s.assertNoViolation(t)
}

func TestUnexpectedModelIsKeptWhereDemandIsUnknown(t *testing.T) {
	s := newSim(PlanOptions{}, testEngine("e1", "p", "a*", "b"), testEngine("e2", "q", "b*"))
	s.run(simPeriod)
	s.engines[0].State.Models = append(s.engines[0].State.Models, endpoint.ModelState{Model: "b", Ready: true})
	assert.Equal(t, len(s.run(time.Minute)), 0)
}

func TestReloadKeepsTheVersion(t *testing.T) {
	s := newSim(PlanOptions{}, testEngine("e1", "p", "a*"))
	s.run(simPeriod)
	s.engines[0].State.Models[0].Version = "2"
	s.run(simPeriod)
	s.restartEngine(0)
	assert.Equal(t, len(s.run(simPeriod)), 1)
	assert.Equal(t, s.steps[0].Order.Version, "2")
}

// TestLastReplicaIsNeverUnloaded plans under random demand, engine restarts and
// failed state reads.
func TestLastReplicaIsNeverUnloaded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSim(PlanOptions{ModelsPerEngine: rapid.IntRange(1, 2).Draw(rt, "per engine"), ScaleDownDelay: time.Minute},
			testEngine("e1", "p", "a*", "b"), testEngine("e2", "p", "a*", "b", "c"), testEngine("e3", "q", "a", "b*", "c"),
			testEngine("e4", "q", "a", "b", "c*"), testEngine("e5", "q", "c"), testEngine("e6", "p", "a", "b*", "c*"))
		for range 60 {
			model := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "model")
			dc := rapid.SampledFrom([]string{"p", "q"}).Draw(rt, "data centre")
			s.setDemand(model, dc, rapid.IntRange(0, 9).Draw(rt, "waiting"), rapid.IntRange(0, 9000).Draw(rt, "tokens"))
			i := rapid.IntRange(0, len(s.engines)-1).Draw(rt, "engine")
			switch rapid.IntRange(0, 5).Draw(rt, "fault") {
			case 0:
				s.restartEngine(i)
			case 1:
				s.engines[i].Known = !s.engines[i].Known
			}
			s.run(time.Duration(rapid.IntRange(1, 40).Draw(rt, "periods")) * simPeriod)
		}
		if s.violation != "" {
			rt.Fatal(s.violation)
		}
	})
}

// TestPendingUnloadBlocksFurtherUnloads plans again before an unload is carried
// out: the engine must not be ordered to unload a second model for the same request
// for space.
func TestPendingUnloadBlocksFurtherUnloads(t *testing.T) {
	s := newSim(PlanOptions{ModelsPerEngine: 2}, testEngine("e1", "p", "a*", "b*", "c"), testEngine("e2", "p", "a*"), testEngine("e3", "p", "b*"))
	s.setDemand("a", "p", 0, 0).setDemand("b", "p", 0, 0).setDemand("c", "p", 0, 0)
	s.run(s.planner.options.ScaleDownDelay - simPeriod)
	s.setDemand("c", "p", 9, 0)
	for range 20 {
		s.planner.Plan(s.now, s.engines, s.demand, s.budget)
		s.now = s.now.Add(simPeriod)
	}
	assert.DeepEqual(t, s.planner.Target("e1"), []string{"b"})
}

// TestEngineWithLastReplicaIsSkipped needs space for c, which e1 or e2 may serve.
// e1 has the last replica of a, so e2 must unload b.
func TestEngineWithLastReplicaIsSkipped(t *testing.T) {
	s := newSim(PlanOptions{}, testEngine("e1", "p", "a*", "c"), testEngine("e2", "p", "b*", "c"), testEngine("e3", "p", "b*"))
	s.setDemand("a", "p", 0, 0).setDemand("b", "p", 0, 0).setDemand("c", "p", 9, 0)
	assert.Equal(t, len(s.run(s.planner.options.ScaleDownDelay)), 0)
	assert.DeepEqual(t, s.run(simPeriod), []string{"unload b e2"})
}

func TestPoolsDemand(t *testing.T) {
	group := capacity.GroupDump{
		Pools:     []domain.PoolName{"model/a", "model/b", "service/s"},
		Settled:   true,
		Endpoints: []capacity.EndpointDump{{Requests: 3, ReservedTokens: 300}, {Requests: 1, ReservedTokens: 100}},
		Holders:   []capacity.HolderDump{{Pool: "model/a", Grants: 3, Waiting: 2}, {Pool: "model/a", Grants: 1, Waiting: 1}, {Pool: "service/s", Waiting: 9}},
	}
	dump := capacity.Dump{Owned: []capacity.GroupDump{group}}
	d := PoolDemand{Dump: func() capacity.Dump { return dump }}
	assert.DeepEqual(t, d.Demand(), map[string]ModelDemand{"a": {Waiting: 3, Running: 4, Tokens: 400}, "b": {}})
	// An owner that has just taken over does not know the demand yet.
	dump.Owned[0].Settled = false
	assert.Equal(t, len(d.Demand()), 0)
}

func TestReadiness(t *testing.T) {
	r := NewReadiness(time.Minute)
	now := time.Unix(0, 0)
	check := func(id domain.EndpointID, model string, at time.Duration, ready, known bool) {
		t.Helper()
		gotReady, gotKnown := r.Ready(now.Add(at), id, model)
		assert.Equal(t, gotReady, ready)
		assert.Equal(t, gotKnown, known)
	}
	check("e", "a", 0, false, false)
	r.Record(now, "e", endpoint.EngineState{Models: []endpoint.ModelState{{Model: "a", Ready: true}, {Model: "b"}}})
	check("e", "a", 0, true, true)
	check("e", "b", 0, false, true)
	check("e", "a", 2*time.Minute, false, false)
	r.Record(now, "e", endpoint.EngineState{Fence: 1})
	check("e", "a", 0, false, true)
	// An engine that has accepted no order and reports no models may serve any
	// model.
	r.Record(now, "e", endpoint.EngineState{})
	check("e", "a", 0, false, false)
}
