package virtual

import (
	"errors"
	"fmt"

	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/load"
	"hawthornrill.example/hawthornrill/node"
	"hawthornrill.example/hawthornrill/routing"
	"hawthornrill.example/hawthornrill/scheduler"
)

// ErrUnknownPolicy means that there is no policy with the given name.
var ErrUnknownPolicy = errors.New("virtual: unknown policy")

// Policy is a scheduling policy to be compared with others.
type Policy struct {
	Name string
	// Configure, if set, changes the options of a node.
	Configure func(o *node.Options)
	// Unlimited removes the limits of the endpoints, so that requests queue only in the
	// endpoints themselves.
	Unlimited bool
	// Table, if set, changes the operators' configuration table.
	Table func(t *config.Table)
}

// chooserPolicy returns a policy with the given Chooser.
func chooserPolicy(name string, unlimited bool, chooser func() capacity.Chooser) Policy {
	return Policy{
		Name:      name,
		Unlimited: unlimited,
		Configure: func(o *node.Options) { o.Capacity.NewChooser = chooser },
	}
}

// policies lists the default of the nodes, the baselines, and the variants described in
// docs/EXPERIMENTS.md.
var policies = []Policy{
	{Name: "default"},
	chooserPolicy("random", true, func() capacity.Chooser { return load.NewRandom(1) }),
	chooserPolicy("round-robin", true, func() capacity.Chooser { return &load.RoundRobin{} }),
	chooserPolicy("least-reported", true, func() capacity.Chooser { return load.NewLeastReportedLoad() }),
	leastOutstandingPolicy(),
	limitBlindPolicy(),
	holdPolicy(holdDisabled, 16),
	holdPolicy(2, 16),
	holdPolicy(holdDisabled, 24),
	holdPolicy(2, 24),
	holdPolicy(2, 32),
	holdPolicy(1.3, 32),
	{Name: "longest", Configure: func(o *node.Options) { o.LengthPredictor = scheduler.MaxLengthPredictor{} }},
	{Name: "prefill-0", Configure: func(o *node.Options) { o.Routing.PrefillWeight = -1 }},
	{Name: "prefill-4", Configure: func(o *node.Options) { o.Routing.PrefillWeight = 4 }},
	{Name: "prefill-16", Configure: func(o *node.Options) { o.Routing.PrefillWeight = 16 }},
	{Name: "hopeless-0.5", Configure: func(o *node.Options) { o.Capacity.ForecastFactor = 0.5 }},
	{Name: "hopeless-1", Configure: func(o *node.Options) { o.Capacity.ForecastFactor = 1 }},
}

// holdDisabled is a HoldRatio that disables holding requests back.
const holdDisabled = -1

// leastOutstandingPolicy is the first scheduler of the project: a queue, and the endpoint
// with the fewest outstanding requests.
func leastOutstandingPolicy() Policy {
	p := chooserPolicy("first-round", false, func() capacity.Chooser { return capacity.NewLeastOutstanding() })
	p.Table = setEngineLimit(16)
	return p
}

// limitBlindPolicy is the behaviour of the nodes before round 1 of the experiments.
func limitBlindPolicy() Policy {
	p := holdPolicy(holdDisabled, 16)
	configure := p.Configure
	p.Name = "without-limits"
	p.Configure = func(o *node.Options) {
		configure(o)
		o.LengthPredictor = limitBlindPredictor{routing.NewLengthPredictor()}
	}
	return p
}

// holdPolicy returns a policy with a HoldRatio and a limit on the requests of an engine.
func holdPolicy(ratio float64, limit int) Policy {
	name := fmt.Sprintf("hold-%g-batch-%d", ratio, limit)
	if ratio == holdDisabled {
		name = fmt.Sprintf("hold-off-batch-%d", limit)
	}
	return Policy{
		Name:      name,
		Configure: func(o *node.Options) { o.Routing.HoldRatio = ratio },
		Table:     setEngineLimit(limit),
	}
}

// setEngineLimit returns a function that sets the request limit of all engines.
func setEngineLimit(limit int) func(*config.Table) {
	return func(t *config.Table) {
		for i := range t.Endpoints {
			if t.Endpoints[i].Kind == config.KindEngine {
				t.Endpoints[i].Limit = limit
			}
		}
	}
}

// PolicyByName returns the policy with the given name or ErrUnknownPolicy.
func PolicyByName(name string) (Policy, error) {
	for _, p := range policies {
		if p.Name == name {
			return p, nil
		}
	}
	return Policy{}, fmt.Errorf("%w: %q", ErrUnknownPolicy, name)
}

// unlimitedRequests is a request limit that no run reaches.
const unlimitedRequests = 100_000

// table returns a copy of the table with the changes of the policy. The limits of
// organisations are removed under all policies, since the policies are compared by how
// they share the endpoints.
func (p Policy) table(t config.Table) config.Table {
	t = t.Clone()
	for i := range t.Organisations {
		t.Organisations[i].InFlight = 0
		t.Organisations[i].TokensPerMinute = 0
	}
	if p.Table != nil {
		p.Table(&t)
	}
	if !p.Unlimited {
		return t
	}
	for i := range t.Endpoints {
		t.Endpoints[i].Limit = unlimitedRequests
		t.Endpoints[i].TokenLimit = 0
	}
	return t
}
