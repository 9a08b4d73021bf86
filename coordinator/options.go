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

// Engines finds the side of an engine that takes orders; ok is false if it has
// none.
type Engines interface {
	Orders(id domain.EndpointID) (orders endpoint.Orders, ok bool)
}

// Options are the seams and numbers of a Service. The seams are required; zero
// numbers mean the defaults.
type Options struct {
	// Transport must not have started.
	Transport peer.Transport
	Members   membership.View
	Config    config.View
	// Store should be within the node's budget (package store/budget).
	Store   store.Store
	Engines Engines
	Demand  DemandSource
	// LoadBudget bounds the loads of all groups that this node leads; nil for 30 a
	// minute with a burst of 4.
	LoadBudget LoadBudget
	Metrics    *metrics.Set
	Logger     zerolog.Logger

	Plan PlanOptions
	// Candidates is how many nodes campaign for a group's lease (3).
	Candidates int
	// Period is the time between two readings of all engines (5 s).
	Period time.Duration
	// OrderTimeout bounds an order or a reading (3 s). It must be less than LeaseMargin.
	OrderTimeout time.Duration
	// LeaseTTL and LeaseMargin are the lease's (30 s, 6 s).
	LeaseTTL    time.Duration
	LeaseMargin time.Duration
	// StepDownBackoff is for how long a holder that was overtaken stays away (10 s).
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
		o.LoadBudget = NewLoadRateLimit(defaultLoadsPerMinute, defaultLoadsAtOnce)
	}
	return o
}

const (
	defaultLoadsPerMinute = 30
	defaultLoadsAtOnce    = 4
)

// settleTime is how long a new holder waits before its first order to an engine
// that ignores fencing numbers: an order that the former holder sent while it held
// has arrived by then, also if it was paused for a TTL between check and send.
func (o Options) settleTime() time.Duration { return o.LeaseTTL + o.LeaseMargin + o.OrderTimeout }
