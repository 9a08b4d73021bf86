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

// ErrUnknownPolicy means that there is no policy of that name.
var ErrUnknownPolicy = errors.New("virtual: no such policy")

// Policy is a way to schedule, to be compared with others.
type Policy struct {
	Name string
	// Configure changes a node's options.
	Configure func(o *node.Options)
	// Unlimited lifts the endpoints' limits, so that nothing waits but in the
	// endpoints themselves.
	Unlimited bool
	// Table, if set, changes the operators' table.
	Table func(t *config.Table)
}

// choosing makes a policy with another Chooser.
func choosing(name string, unlimited bool, chooser func() capacity.Chooser) Policy {
	return Policy{
		Name:      name,
		Unlimited: unlimited,
		Configure: func(o *node.Options) { o.Capacity.NewChooser = chooser },
	}
}

// The policies: what the nodes do by default, the baselines, and the changes that
// docs/EXPERIMENTS.md tells of.
var policies = []Policy{
	{Name: "default"},
	choosing("random", true, func() capacity.Chooser { return load.NewRandom(1) }),
	choosing("round-robin", true, func() capacity.Chooser { return &load.RoundRobin{} }),
	choosing("least-reported", true, func() capacity.Chooser { return load.NewLeastReportedLoad() }),
	firstRound(),
	withoutLengthLimits(),
	holding(holdOff, 16),
	holding(2, 16),
	holding(holdOff, 24),
	holding(2, 24),
	holding(2, 32),
	holding(1.3, 32),
	{Name: "longest", Configure: func(o *node.Options) { o.Lengths = scheduler.MaxLengthPredictor{} }},
	{Name: "prefill-0", Configure: func(o *node.Options) { o.Routing.PrefillWeight = -1 }},
	{Name: "prefill-4", Configure: func(o *node.Options) { o.Routing.PrefillWeight = 4 }},
	{Name: "prefill-16", Configure: func(o *node.Options) { o.Routing.PrefillWeight = 16 }},
	{Name: "hopeless-0.5", Configure: func(o *node.Options) { o.Capacity.ForecastFactor = 0.5 }},
	{Name: "hopeless-1", Configure: func(o *node.Options) { o.Capacity.ForecastFactor = 1 }},
}

// holdOff is a HoldRatio that holds nothing back.
const holdOff = -1

// firstRound is the project's first: a queue, and the least outstanding requests.
func firstRound() Policy {
	p := choosing("first-round", false, func() capacity.Chooser { return capacity.NewLeastOutstanding() })
	p.Table = slots(16)
	return p
}

// withoutLengthLimits is what the nodes did before round 1.
func withoutLengthLimits() Policy {
	p := holding(holdOff, 16)
	configure := p.Configure
	p.Name = "without-limits"
	p.Configure = func(o *node.Options) {
		configure(o)
		o.Lengths = withoutLimits{routing.NewLengthPredictor()}
	}
	return p
}

// holding makes a policy with a HoldRatio and a limit on the engines' requests.
func holding(ratio float64, limit int) Policy {
	name := fmt.Sprintf("hold-%g-batch-%d", ratio, limit)
	if ratio == holdOff {
		name = fmt.Sprintf("hold-off-batch-%d", limit)
	}
	return Policy{
		Name:      name,
		Configure: func(o *node.Options) { o.Routing.HoldRatio = ratio },
		Table:     slots(limit),
	}
}

// slots sets the engines' limit on requests.
func slots(limit int) func(*config.Table) {
	return func(t *config.Table) {
		for i := range t.Endpoints {
			if t.Endpoints[i].Kind == config.KindEngine {
				t.Endpoints[i].Limit = limit
			}
		}
	}
}

// PolicyByName returns a policy or ErrUnknownPolicy.
func PolicyByName(name string) (Policy, error) {
	for _, p := range policies {
		if p.Name == name {
			return p, nil
		}
	}
	return Policy{}, fmt.Errorf("%w: %q", ErrUnknownPolicy, name)
}

// unlimited is more than any run needs.
const unlimited = 100_000

// table returns a copy of the table as the policy has it. Organisations' limits
// are lifted for all policies: what is compared is the sharing of the endpoints.
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
		t.Endpoints[i].Limit = unlimited
		t.Endpoints[i].TokenLimit = 0
	}
	return t
}
