package schedulertest

import (
	"hawthornrill.example/hawthornrill/answer"
	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/dispatch"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
	"hawthornrill.example/hawthornrill/scheduler"
)

// Cluster is what the nodes of a test share.
type Cluster struct {
	Home      *Home
	Capacity  capacity.Client
	Endpoints dispatch.Endpoints
	// Limits admits everything if nil.
	Limiter scheduler.Limiter
}

// NewMember returns the record of a test's node.
func NewMember(name domain.NodeID) domain.Member {
	return domain.Member{Node: name, Incarnation: 1, DataCentre: "palermo", Address: "127.0.0.1:1"}
}

// NewScheduler puts a scheduler together at a node of the world.
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
