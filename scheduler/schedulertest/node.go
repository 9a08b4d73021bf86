package schedulertest

import (
	"hawthornrill.example/hawthornrill/answer"
	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/dispatch"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
	"hawthornrill.example/hawthornrill/scheduler"
)

// World is what the nodes of a test share.
type World struct {
	Home      *Home
	Capacity  capacity.Client
	Endpoints dispatch.Endpoints
	// Limits admits everything if nil.
	Limits scheduler.Limits
}

// Member returns the record of a test's node.
func Member(name domain.NodeID) domain.Member {
	return domain.Member{Node: name, Incarnation: 1, DataCentre: "palermo", Address: "127.0.0.1:1"}
}

// NewScheduler puts a scheduler together at a node of the world.
func (w World) NewScheduler(transport peer.Transport, options scheduler.Options) *scheduler.Scheduler {
	registry := answer.NewRegistry(answer.NewCache(answer.CacheOptions{}))
	limits := w.Limits
	if limits == nil {
		limits = scheduler.NoLimits{}
	}
	return scheduler.New(scheduler.Parts{
		Ledger:     w.Home.For(transport.Self()),
		Limits:     limits,
		Capacity:   w.Capacity,
		Dispatcher: dispatch.New(w.Endpoints, dispatch.Options{}),
		Answers:    registry,
		Relay:      answer.NewRelay(transport, registry),
		Transport:  transport,
	}, options)
}
