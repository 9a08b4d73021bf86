package coordinator

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint"
)

// simPeriod is the time between two calls of Plan.
const simPeriod = 5 * time.Second

// unlimitedLoads is a LoadBudget without a limit.
type unlimitedLoads struct{}

func (unlimitedLoads) Take(time.Time, string) bool { return true }

// sim carries out the orders of a planner on simulated engines. Before each order
// it checks that an unload leaves another ready replica.
type sim struct {
	planner *Planner
	engines []Engine
	demand  map[ModelLocation]ModelDemand
	budget  LoadBudget
	// loadTime is the duration of a load; failing engines never begin one.
	loadTime     time.Duration
	failing      map[domain.EndpointID]bool
	now          time.Time
	pendingLoads []pendingLoad
	steps        []Step
	violation    string
	// maxLoading is the greatest number of loads in progress at a time.
	maxLoading int
}

type pendingLoad struct {
	engine  int
	model   string
	readyAt time.Time
}

func newSim(options PlanOptions, engines ...Engine) *sim {
	return &sim{
		planner: NewPlanner(options), engines: engines, demand: make(map[ModelLocation]ModelDemand), budget: unlimitedLoads{},
		loadTime: 10 * time.Second, failing: make(map[domain.EndpointID]bool), now: time.Unix(0, 0),
	}
}

// testEngine returns an engine that may serve the models and has those marked with
// a star ready.
func testEngine(id, dc string, models ...string) Engine {
	e := Engine{ID: domain.EndpointID(id), DataCentre: domain.DataCentre(dc), Known: true, OrdersAllowed: true}
	for _, m := range models {
		name, loaded := m, false
		if m[len(m)-1] == '*' {
			name, loaded = m[:len(m)-1], true
		}
		e.Models = append(e.Models, name)
		if loaded {
			e.State.Models = append(e.State.Models, endpoint.ModelState{Model: name, Ready: true})
		}
	}
	slices.Sort(e.Models)
	return e
}

func (s *sim) setDemand(model, dc string, waiting, tokens int) *sim {
	s.demand[ModelLocation{model, domain.DataCentre(dc)}] = ModelDemand{Waiting: waiting, Tokens: tokens, Running: min(tokens, 1)}
	return s
}

// run plans for a time and returns the orders of that time as "kind model engine".
func (s *sim) run(d time.Duration) []string {
	first := len(s.steps)
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(simPeriod) {
		s.finishLoads()
		for _, step := range s.planner.Plan(s.now, s.engines, s.demand, s.budget) {
			s.check(step)
			s.apply(step)
		}
	}
	var orders []string
	for _, step := range s.steps[first:] {
		orders = append(orders, fmt.Sprintf("%s %s %s", step.Order.Kind, step.Order.Model, step.Endpoint))
	}
	return orders
}

func (s *sim) check(step Step) {
	if step.Order.Kind != endpoint.OrderUnload {
		return
	}
	for _, id := range step.OtherReplicas {
		i := s.index(id)
		if id != step.Endpoint && s.engines[i].ready(step.Order.Model) {
			return
		}
	}
	s.violation = fmt.Sprintf("last replica unloaded: %s %s at %v", step.Order.Model, step.Endpoint, s.now)
}

func (s *sim) index(id domain.EndpointID) int {
	return slices.IndexFunc(s.engines, func(e Engine) bool { return e.ID == id })
}

func (s *sim) apply(step Step) {
	s.steps = append(s.steps, step)
	i := s.index(step.Endpoint)
	models := slices.DeleteFunc(slices.Clone(s.engines[i].State.Models), func(m endpoint.ModelState) bool { return m.Model == step.Order.Model })
	if step.Order.Kind == endpoint.OrderLoad && !s.failing[step.Endpoint] {
		models = append(models, endpoint.ModelState{Model: step.Order.Model, Version: step.Order.Version})
		s.pendingLoads = append(s.pendingLoads, pendingLoad{i, step.Order.Model, s.now.Add(s.loadTime)})
	}
	s.engines[i].State.Models = models
	s.maxLoading = max(s.maxLoading, s.loading())
}

func (s *sim) loading() int {
	count := 0
	for _, e := range s.engines {
		for _, m := range e.State.Models {
			if !m.Ready {
				count++
			}
		}
	}
	return count
}

func (s *sim) finishLoads() {
	s.pendingLoads = slices.DeleteFunc(s.pendingLoads, func(d pendingLoad) bool {
		if s.now.Before(d.readyAt) {
			return false
		}
		models := slices.Clone(s.engines[d.engine].State.Models)
		for j := range models {
			if models[j].Model == d.model {
				models[j].Ready = true
			}
		}
		s.engines[d.engine].State.Models = models
		return true
	})
}

// restartEngine makes an engine lose its models and its pending loads.
func (s *sim) restartEngine(i int) {
	s.engines[i].State.Models = nil
	s.pendingLoads = slices.DeleteFunc(s.pendingLoads, func(d pendingLoad) bool { return d.engine == i })
}

func (s *sim) assertNoViolation(t *testing.T) {
	t.Helper()
	assert.Equal(t, s.violation, "")
}
