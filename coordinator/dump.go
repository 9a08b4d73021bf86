package coordinator

import (
	"maps"
	"slices"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint"
)

// Dump is the state of a Service, served at /debug/state.
type Dump struct {
	// Campaigns are the groups whose lease this node holds or campaigns for.
	Campaigns []string `json:"campaigns"`
	// Led are the groups whose lease this node holds.
	Led []GroupDump `json:"led"`
}

// GroupDump is the state last read and decided by the holder of the lease of a
// group.
type GroupDump struct {
	Group   string        `json:"group"`
	Fence   uint64        `json:"fence"`
	Held    bool          `json:"held"`
	Since   time.Duration `json:"since_ns"`
	Engines []EngineDump  `json:"engines"`
	// Orders are those of the last period.
	Orders []OrderDump `json:"orders,omitempty"`
}

// EngineDump is an engine with its target.
type EngineDump struct {
	ID     domain.EndpointID     `json:"id"`
	Known  bool                  `json:"known"`
	Open   bool                  `json:"open"`
	Target []string              `json:"target"`
	Models []endpoint.ModelState `json:"models"`
}

// OrderDump is a planned order.
type OrderDump struct {
	Endpoint domain.EndpointID  `json:"endpoint"`
	Kind     endpoint.OrderKind `json:"kind"`
	Model    string             `json:"model"`
}

func (s *Service) Dump() Dump {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := Dump{Campaigns: slices.Sorted(maps.Keys(s.campaigns))}
	for _, name := range d.Campaigns {
		if t := s.campaigns[name].term.Load(); t != nil {
			d.Led = append(d.Led, t.dump(name))
		}
	}
	return d
}

func (t *term) dump(name string) GroupDump {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.lastDump
	d.Group, d.Fence, d.Held, d.Since = name, t.fence, t.lease.Held(), time.Since(t.startedAt)
	return d
}

// recordDump saves the state of the period for the next dump.
func (t *term) recordDump(engines []Engine, steps []Step) {
	var d GroupDump
	for _, e := range engines {
		d.Engines = append(d.Engines, EngineDump{e.ID, e.Known, e.OrdersAllowed, t.planner.Target(e.ID), e.State.Models})
	}
	for _, step := range steps {
		d.Orders = append(d.Orders, OrderDump{step.Endpoint, step.Order.Kind, step.Order.Model})
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastDump = d
}
