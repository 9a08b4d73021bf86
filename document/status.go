package document

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/membership"
)

// statusParallel bounds the nodes asked at a time.
const statusParallel = 64

// NodeStatus is what a node says of its documents.
type NodeStatus struct {
	Member domain.Member     `json:"member"`
	Status membership.Status `json:"membership"`
	// Conditions are the node's own; empty if it can't be reached.
	Conditions []Condition   `json:"conditions,omitempty"`
	Uptime     time.Duration `json:"uptime_ns"`
	// Error says why the node can't be reached; empty if it can.
	Error string `json:"error,omitempty"`
}

// Status asks all nodes of the membership for their conditions. It takes at most
// Options.CallTimeout for each 64 nodes that can't be reached.
func (s *Service) Status(ctx context.Context) []NodeStatus {
	snapshot := s.options.Members.Current()
	if snapshot == nil {
		return nil
	}
	nodes := make([]NodeStatus, len(snapshot.Peers))
	var group errgroup.Group
	group.SetLimit(statusParallel)
	for i, each := range snapshot.Peers {
		group.Go(func() error {
			nodes[i] = s.statusOf(ctx, each)
			return nil
		})
	}
	_ = group.Wait()
	return nodes
}

func (s *Service) statusOf(ctx context.Context, p membership.Peer) NodeStatus {
	node := NodeStatus{Member: p.Member, Status: p.Status}
	reply, err := call[statusRequest, statusReply](ctx, s, p.Member, methodStatus, statusRequest{})
	if err != nil {
		node.Error = err.Error()
		return node
	}
	node.Conditions = reply.Conditions
	node.Uptime = reply.Uptime
	return node
}
