package schedulertest

import (
	"hawthornrill.example/hawthornrill/answer"
	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/dispatch"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
	"hawthornrill.example/hawthornrill/scheduler"
)

// Cluster holds the dependencies that the nodes of a test share.
type Cluster struct {
	Home      *Home
	Capacity  capacity.Client
	Endpoints dispatch.Endpoints
	// Limiter may be nil, which admits everything.
	Limiter scheduler.Limiter
}

// NewMember returns the member record of a test node.
func NewMember(name domain.NodeID) domain.Member {
	return domain.Member{Node: name, Incarnation: 1, DataCentre: "palermo", Address: "127.0.0.1:1"}
}

// NewScheduler returns a scheduler on a node of the cluster.
func (w Cluster) NewScheduler(transport peer.Transport, options scheduler.Options) *scheduler.Scheduler {
	registry := answer.NewRegistry(answer.NewCache(answer.CacheOptions{}))
	limits := w.Limiter
	if limits == nil {
		limits = scheduler.NoLimits{}
	}
	return scheduler.New(scheduler.Dependencies{
		Ledger:     w.Home.LedgerFor(transport.Self()),
		Limiter:    limits,
		Capacity:   w.Capacity,
		Dispatcher: dispatch.New(w.Endpoints, dispatch.Options{}),
		Answers:    registry,
		Relay:      answer.NewRelay(transport, registry),
		Transport:  transport,
	}, options)
}
