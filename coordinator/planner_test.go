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

// TestPlans tells what the planner orders in half an hour.
func TestPlans(t *testing.T) {
	cases := []struct {
		name string
		sim  *sim
		want []string
	}{
		{"nothing needed", newSim(PlanOptions{}, machine("e1", "p", "a*", "b"), machine("e2", "p", "a", "b*")).
			need("a", "p", 0, 0).need("b", "p", 0, 0), nil},
		{"a fixed engine is loaded", newSim(PlanOptions{}, machine("e1", "p", "a")), []string{"load a e1"}},
		{"a model without a runner gets one", newSim(PlanOptions{}, machine("e1", "p", "a", "b")), []string{"load a e1"}},
		{"a spare runner makes room", newSim(PlanOptions{}, machine("e1", "p", "a*", "b"), machine("e2", "p", "a*", "b"), machine("e3", "p", "a", "b*")).
			need("a", "p", 0, 0).need("b", "p", 9, 0), []string{"unload a e1", "load b e1"}},
		{"a busy one does not", newSim(PlanOptions{}, machine("e1", "p", "a*", "b"), machine("e2", "p", "a*", "b"), machine("e3", "p", "a", "b*")).
			need("a", "p", 0, 3000).need("b", "p", 9, 0), nil},
		{"unknown demand is not none", newSim(PlanOptions{}, machine("e1", "p", "a*", "b"), machine("e2", "p", "a*", "b"), machine("e3", "p", "a", "b*")).
			need("b", "p", 9, 0), nil},
		{"the last runner stays", newSim(PlanOptions{}, machine("e1", "p", "a*", "b"), machine("e2", "p", "a", "b*")).
			need("a", "p", 0, 0).need("b", "p", 9, 0), nil},
		{"the last of a data centre leaves when that needs none", newSim(PlanOptions{}, machine("e1", "p", "a*", "b"), machine("e2", "q", "a*", "b*")).
			need("a", "p", 0, 0).need("a", "q", 0, 9).need("b", "p", 9, 0), []string{"unload a e1", "load b e1"}},
		{"the last of a data centre stays while it has demand", newSim(PlanOptions{}, machine("e1", "p", "a*", "b"), machine("e2", "q", "a*", "b*")).
			need("a", "p", 0, 9).need("a", "q", 0, 9).need("b", "p", 9, 0), nil},
		{"two on one engine, one not needed", newSim(PlanOptions{}, machine("e1", "p", "a*", "b*"), machine("e2", "p", "a", "b*")).
			need("a", "p", 0, 0).need("b", "p", 0, 0), []string{"unload b e1"}},
		{"a drained engine is left alone and counts for nothing", newSim(PlanOptions{}, drained(machine("e1", "p", "a*", "b")), machine("e2", "p", "a", "b")).
			need("a", "p", 0, 0).need("b", "p", 0, 0), []string{"load a e2"}},
		{"a drained engine is not loaded", newSim(PlanOptions{}, drained(machine("e1", "p", "a"))), nil},
		{"an engine that is not open is left alone", newSim(PlanOptions{}, shut(machine("e1", "p", "a"))), nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.DeepEqual(t, c.sim.run(30*time.Minute), c.want)
			c.sim.sound(t)
		})
	}
}

func drained(e Engine) Engine { e.Drain = true; return e }
func shut(e Engine) Engine    { e.OrdersAllowed = false; return e }

func TestDemandSwingsDoNotFlap(t *testing.T) {
	s := newSim(PlanOptions{}, machine("e1", "p", "a*", "b"), machine("e2", "p", "a*", "b"), machine("e3", "p", "a", "b*"), machine("e4", "p", "a", "b*"))
	for i := range 120 {
		busy, idle := "a", "b"
		if i%2 == 1 {
			busy, idle = idle, busy
		}
		s.need(busy, "p", 9, 9000).need(idle, "p", 0, 0).run(2 * time.Minute)
	}
	assert.Equal(t, len(s.steps), 0)
	s.need("a", "p", 9, 9000).need("b", "p", 0, 0)
	assert.DeepEqual(t, s.run(time.Hour), []string{"unload b e3", "load a e3"})
	s.sound(t)
}

func TestShortPressureIsIgnored(t *testing.T) {
	s := newSim(PlanOptions{}, machine("e1", "p", "a*"), machine("e2", "p", "a", "b"), machine("e3", "p", "b*"))
	s.need("a", "p", 0, 0).run(time.Minute)
	s.need("a", "p", 9, 0).run(25 * time.Second)
	s.need("a", "p", 0, 0).run(time.Minute)
	assert.Equal(t, len(s.steps), 0)
	assert.DeepEqual(t, s.need("a", "p", 9, 0).run(time.Minute), []string{"load a e2"})
}

func TestOneChangeOfAModelAtATime(t *testing.T) {
	s := newSim(PlanOptions{}, machine("e1", "p", "a*", "b"), machine("e2", "p", "a", "b"), machine("e3", "p", "a", "b"), machine("e4", "p", "b*"))
	s.loadTime = 5 * time.Minute
	s.need("a", "p", 99, 0)
	assert.DeepEqual(t, s.run(5*time.Minute), []string{"load a e2"})
	assert.DeepEqual(t, s.run(2*time.Minute), []string{"load a e3"})
}

func TestChangesKeepTheirDistance(t *testing.T) {
	s := newSim(PlanOptions{ScaleUpDelay: simPeriod}, machine("e1", "p", "a*", "b"), machine("e2", "p", "a", "b"), machine("e3", "p", "a", "b"), machine("e4", "p", "b*"))
	s.loadTime = 0
	s.need("a", "p", 99, 0)
	assert.DeepEqual(t, s.run(time.Minute), []string{"load a e2"})
	assert.DeepEqual(t, s.run(time.Minute), []string{"load a e3"})
}

func TestLoadsAreBounded(t *testing.T) {
	var engines []Engine
	for i := range 12 {
		engines = append(engines, machine(string(rune('a'+i)), "p", "m"))
	}
	s := newSim(PlanOptions{MaxConcurrentLoads: 3}, engines...)
	s.loadTime = time.Minute
	assert.Equal(t, len(s.run(4*time.Minute+simPeriod)), 12)
	assert.Equal(t, s.maxLoading, 3)
	for i := range engines {
		s.forget(i)
	}
	s.loadTime, s.weights = 0, NewLoadRateLimit(2, 1)
	assert.Equal(t, len(s.run(3*time.Minute)), 6)
}

func TestFailedLoadIsTriedElsewhere(t *testing.T) {
	s := newSim(PlanOptions{}, machine("e1", "p", "a", "b"), machine("e2", "p", "a", "b"), machine("e3", "p", "b*"))
	s.failing["e1"] = true
	s.run(11 * time.Minute)
	assert.Assert(t, s.engines[1].ready("a"))
	assert.DeepEqual(t, s.planner.Target("e1"), []string(nil))
}

func TestStrayModelsAreCorrected(t *testing.T) {
	s := newSim(PlanOptions{}, machine("e1", "p", "a*", "b"), machine("e2", "p", "a", "b*"), machine("e3", "p", "a", "b*"))
	s.need("a", "p", 0, 9).need("b", "p", 0, 9)
	assert.Equal(t, len(s.run(simPeriod)), 0)
	// A late order has loaded b on e1 and unloaded a.
	s.engines[0].State.Models = []endpoint.ModelState{{Model: "b", Ready: true}}
	assert.DeepEqual(t, s.run(simPeriod), []string{"unload b e1", "load a e1"})
	// A stray runner that is the only one is kept.
	s.run(time.Minute)
	s.engines[1].State.Models, s.engines[2].State.Models = nil, nil
	s.engines[1].Known, s.engines[2].Known = false, false
	s.engines[0].State.Models = []endpoint.ModelState{{Model: "a", Ready: true}, {Model: "b", Ready: true}}
	assert.Equal(t, len(s.run(time.Minute)), 0)
	s.sound(t)
}

func TestStrayModelIsKeptWhereDemandIsUnknown(t *testing.T) {
	s := newSim(PlanOptions{}, machine("e1", "p", "a*", "b"), machine("e2", "q", "b*"))
	s.run(simPeriod)
	s.engines[0].State.Models = append(s.engines[0].State.Models, endpoint.ModelState{Model: "b", Ready: true})
	assert.Equal(t, len(s.run(time.Minute)), 0)
}

func TestReloadKeepsTheVersion(t *testing.T) {
	s := newSim(PlanOptions{}, machine("e1", "p", "a*"))
	s.run(simPeriod)
	s.engines[0].State.Models[0].Version = "2"
	s.run(simPeriod)
	s.forget(0)
	assert.Equal(t, len(s.run(simPeriod)), 1)
	assert.Equal(t, s.steps[0].Order.Version, "2")
}

// TestNeverTheLastRunner plans under random demand, restarts and silences.
func TestNeverTheLastRunner(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSim(PlanOptions{ModelsPerEngine: rapid.IntRange(1, 2).Draw(rt, "per engine"), ScaleDownDelay: time.Minute},
			machine("e1", "p", "a*", "b"), machine("e2", "p", "a*", "b", "c"), machine("e3", "q", "a", "b*", "c"),
			machine("e4", "q", "a", "b", "c*"), machine("e5", "q", "c"), machine("e6", "p", "a", "b*", "c*"))
		for range 60 {
			model := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "model")
			dc := rapid.SampledFrom([]string{"p", "q"}).Draw(rt, "data centre")
			s.need(model, dc, rapid.IntRange(0, 9).Draw(rt, "waiting"), rapid.IntRange(0, 9000).Draw(rt, "tokens"))
			i := rapid.IntRange(0, len(s.engines)-1).Draw(rt, "engine")
			switch rapid.IntRange(0, 5).Draw(rt, "fault") {
			case 0:
				s.forget(i)
			case 1:
				s.engines[i].Known = !s.engines[i].Known
			}
			s.run(time.Duration(rapid.IntRange(1, 40).Draw(rt, "periods")) * simPeriod)
		}
		if s.broken != "" {
			rt.Fatal(s.broken)
		}
	})
}

// TestRoomIsMadeOnce plans again before an unload is carried out.
func TestRoomIsMadeOnce(t *testing.T) {
	s := newSim(PlanOptions{ModelsPerEngine: 2}, machine("e1", "p", "a*", "b*", "c"), machine("e2", "p", "a*"), machine("e3", "p", "b*"))
	s.need("a", "p", 0, 0).need("b", "p", 0, 0).need("c", "p", 0, 0)
	s.run(s.planner.options.ScaleDownDelay - simPeriod)
	s.need("c", "p", 9, 0)
	for range 20 {
		s.planner.Plan(s.now, s.engines, s.demand, s.weights)
		s.now = s.now.Add(simPeriod)
	}
	assert.DeepEqual(t, s.planner.Target("e1"), []string{"b"})
}

// TestLastRunnerIsPassedOver has room for c on e1, which has the last a, and on e2.
func TestLastRunnerIsPassedOver(t *testing.T) {
	s := newSim(PlanOptions{}, machine("e1", "p", "a*", "c"), machine("e2", "p", "b*", "c"), machine("e3", "p", "b*"))
	s.need("a", "p", 0, 0).need("b", "p", 0, 0).need("c", "p", 9, 0)
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
	// An owner that has just begun does not know yet.
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
	// An engine that was never told, and names nothing, may serve anything.
	r.Record(now, "e", endpoint.EngineState{})
	check("e", "a", 0, false, false)
}
