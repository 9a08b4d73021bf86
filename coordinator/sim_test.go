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

// free is a weight store without a limit.
type free struct{}

func (free) Take(time.Time, string) bool { return true }

// sim carries out a planner's orders on engines that do as they are told. After
// each order it checks what must never happen.
type sim struct {
	planner *Planner
	engines []Engine
	demand  map[ModelLocation]ModelDemand
	weights LoadBudget
	// loadTime is how long an engine loads, failing engines never do.
	loadTime time.Duration
	failing  map[domain.EndpointID]bool
	now      time.Time
	due      []dueLoad
	steps    []Step
	broken   string
	// maxLoading is the most engines that were loading at a time.
	maxLoading int
}

type dueLoad struct {
	engine int
	model  string
	at     time.Time
}

func newSim(options PlanOptions, engines ...Engine) *sim {
	return &sim{
		planner: NewPlanner(options), engines: engines, demand: make(map[ModelLocation]ModelDemand), weights: free{},
		loadTime: 10 * time.Second, failing: make(map[domain.EndpointID]bool), now: time.Unix(0, 0),
	}
}

// machine is an engine "dc/number" that may serve the models and has those marked
// with a star.
func machine(id, dc string, models ...string) Engine {
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

// need sets the demand of a model in a data centre.
func (s *sim) need(model, dc string, waiting, tokens int) *sim {
	s.demand[ModelLocation{model, domain.DataCentre(dc)}] = ModelDemand{Waiting: waiting, Tokens: tokens, Running: min(tokens, 1)}
	return s
}

// run plans for a time, and returns the orders of that time as "kind model engine".
func (s *sim) run(d time.Duration) []string {
	first := len(s.steps)
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(simPeriod) {
		s.finishLoads()
		for _, step := range s.planner.Plan(s.now, s.engines, s.demand, s.weights) {
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
	s.broken = fmt.Sprintf("last runner: %s %s at %v", step.Order.Model, step.Endpoint, s.now)
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
		s.due = append(s.due, dueLoad{i, step.Order.Model, s.now.Add(s.loadTime)})
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
	s.due = slices.DeleteFunc(s.due, func(d dueLoad) bool {
		if s.now.Before(d.at) {
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

// forget is an engine's restart.
func (s *sim) forget(i int) {
	s.engines[i].State.Models = nil
	s.due = slices.DeleteFunc(s.due, func(d dueLoad) bool { return d.engine == i })
}

func (s *sim) sound(t *testing.T) {
	t.Helper()
	assert.Equal(t, s.broken, "")
}
