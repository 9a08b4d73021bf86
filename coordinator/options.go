package coordinator

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/defaults"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/membership"
	"hawthornrill.example/hawthornrill/peer"
	"hawthornrill.example/hawthornrill/store"
)

// Engines returns the order interface of an engine; ok is false if the engine takes
// no orders.
type Engines interface {
	Orders(id domain.EndpointID) (orders endpoint.Orders, ok bool)
}

// Options are the dependencies and settings of a Service. Dependencies are
// required; settings that are zero have their defaults.
type Options struct {
	// Transport must not have started.
	Transport peer.Transport
	Members   membership.View
	Config    config.View
	// Store should be limited to the call budget of the node (package
	// store/budget).
	Store   store.Store
	Engines Engines
	Demand  DemandSource
	// LoadBudget bounds the loads of all groups that this node leads; nil for 30 a
	// minute with a burst of 4.
	LoadBudget LoadBudget
	Metrics    *metrics.Set
	Logger     zerolog.Logger

	Plan PlanOptions
	// Candidates is the number of nodes that campaign for the lease of a group (3).
	Candidates int
	// Period is the interval between two reads of the state of all engines (5 s).
	Period time.Duration
	// OrderTimeout bounds an order or a state read (3 s). It must be less than
	// LeaseMargin.
	OrderTimeout time.Duration
	// LeaseTTL and LeaseMargin are the TTL of the lease and its safety margin
	// (30 s, a fifth of LeaseTTL). The clocks of the store and of a holder must
	// drift apart by less than the margin in a TTL.
	LeaseTTL    time.Duration
	LeaseMargin time.Duration
	// StepDownBackoff is the mean time for which a superseded holder does not
	// campaign (10 s).
	StepDownBackoff time.Duration
}

func (o Options) withDefaults() Options {
	defaults.Set(&o.Candidates, 3)
	defaults.Set(&o.Period, 5*time.Second)
	defaults.Set(&o.OrderTimeout, 3*time.Second)
	defaults.Set(&o.LeaseTTL, 30*time.Second)
	defaults.Set(&o.LeaseMargin, o.LeaseTTL/5)
	defaults.Set(&o.StepDownBackoff, 10*time.Second)
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	if o.LoadBudget == nil {
		o.LoadBudget = NewLoadRateLimit(defaultLoadsPerMinute, defaultLoadBurst)
	}
	return o
}

const (
	defaultLoadsPerMinute = 30
	defaultLoadBurst      = 4
)

// settleTime is how long a new holder waits before its first order to an engine
// that ignores fencing numbers. An order that the former holder sent while it held
// the lease has arrived by then, even if that holder was paused for a TTL between
// the check of the lease and the send.
func (o Options) settleTime() time.Duration { return o.LeaseTTL + o.LeaseMargin + o.OrderTimeout }
