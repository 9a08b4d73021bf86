package document

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/membership"
	"hawthornrill.example/hawthornrill/peer"
)

// statusParallel bounds the nodes asked at a time.
const statusParallel = 64

// NodeStatus is what a node says of its documents.
type NodeStatus struct {
	Member domain.Member     `cbor:"1,keyasint" json:"member"`
	Status membership.Status `cbor:"2,keyasint" json:"membership"`
	// Conditions are the node's own; empty if it can't be reached.
	Conditions []Condition   `cbor:"3,keyasint,omitempty" json:"conditions,omitempty"`
	Uptime     time.Duration `cbor:"4,keyasint,omitempty" json:"uptime_ns"`
	// Error says why the node can't be reached; empty if it can.
	Error string `cbor:"5,keyasint,omitempty" json:"error,omitempty"`
}

// Status returns the conditions of all nodes of the membership. It asks those of
// its own data centre, and of each other one a node that asks its neighbours, so
// that it needs few links; nodes that are not told of so are asked directly. It
// takes a few times Options.CallTimeout if nodes can't be reached.
func (s *Service) Status(ctx context.Context) []NodeStatus {
	snapshot := s.options.Members.Current()
	if snapshot == nil {
		return nil
	}
	told := s.askCentres(ctx)
	nodes := make([]NodeStatus, len(snapshot.Peers))
	var group errgroup.Group
	group.SetLimit(statusParallel)
	for i, each := range snapshot.Peers {
		if status, ok := told[each.Member]; ok {
			nodes[i] = status
			nodes[i].Status = each.Status
			continue
		}
		group.Go(func() error {
			nodes[i] = s.statusOf(ctx, each)
			return nil
		})
	}
	_ = group.Wait()
	return nodes
}

// askCentres has the other data centres report, and returns the nodes that were
// reached.
func (s *Service) askCentres(ctx context.Context) map[domain.Member]NodeStatus {
	p := s.peers()
	replies := make(chan []NodeStatus, len(p.remote))
	for _, members := range p.remote {
		go func() { replies <- s.askCentre(ctx, members) }()
	}
	told := make(map[domain.Member]NodeStatus)
	for range p.remote {
		for _, node := range <-replies {
			if node.Error == "" {
				told[node.Member] = node
			}
		}
	}
	return told
}

// askCentre asks the nodes that speak for a data centre, one after the other.
func (s *Service) askCentre(ctx context.Context, members []domain.Member) []NodeStatus {
	for _, to := range heads(partnerKey, members, s.options.Watchers) {
		// The node that is asked waits for its own calls.
		bounded, cancel := context.WithTimeout(ctx, 2*s.options.CallTimeout)
		reply, err := peer.Call[statusRequest, centreReply](bounded, s.options.Transport, to, methodCentre, statusRequest{})
		cancel()
		if err == nil {
			return reply.Nodes
		}
	}
	return nil
}

// serveCentre reports the data centre's nodes.
func (s *Service) serveCentre(ctx context.Context, _ domain.Member, _ statusRequest) (centreReply, error) {
	members := s.peers().local
	nodes := make([]NodeStatus, len(members))
	var group errgroup.Group
	group.SetLimit(statusParallel)
	for i, member := range members {
		group.Go(func() error {
			nodes[i] = s.statusOf(ctx, membership.Peer{Member: member})
			return nil
		})
	}
	_ = group.Wait()
	return centreReply{Nodes: slices.DeleteFunc(nodes, func(n NodeStatus) bool { return n.Error != "" })}, nil
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
