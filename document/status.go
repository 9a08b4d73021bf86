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

// maxConcurrentStatusCalls limits the nodes queried at once.
const maxConcurrentStatusCalls = 64

// NodeStatus is the status of a node's documents.
type NodeStatus struct {
	Member domain.Member     `cbor:"1,keyasint" json:"member"`
	Status membership.Status `cbor:"2,keyasint" json:"membership"`
	// Conditions are as reported by the node; empty if it can't be reached.
	Conditions []Condition   `cbor:"3,keyasint,omitempty" json:"conditions,omitempty"`
	Uptime     time.Duration `cbor:"4,keyasint,omitempty" json:"uptime_ns"`
	// Error is the reason why the node can't be reached; empty if it can.
	Error string `cbor:"5,keyasint,omitempty" json:"error,omitempty"`
}

// Status returns the conditions of all nodes of the membership. To need few links, it
// queries the nodes of its own data centre directly, and one node of each other data
// centre for all nodes there. Nodes not reported in this way are queried directly. If
// nodes can't be reached, it takes a few times Options.CallTimeout.
func (s *Service) Status(ctx context.Context) []NodeStatus {
	snapshot := s.options.Members.Current()
	if snapshot == nil {
		return nil
	}
	reported := s.queryDataCentres(ctx)
	nodes := make([]NodeStatus, len(snapshot.Peers))
	var group errgroup.Group
	group.SetLimit(maxConcurrentStatusCalls)
	for i, each := range snapshot.Peers {
		if status, ok := reported[each.Member]; ok {
			nodes[i] = status
			nodes[i].Status = each.Status
			continue
		}
		group.Go(func() error {
			nodes[i] = s.queryNode(ctx, each)
			return nil
		})
	}
	_ = group.Wait()
	return nodes
}

// queryDataCentres queries the other data centres concurrently and returns the nodes
// that were reached.
func (s *Service) queryDataCentres(ctx context.Context) map[domain.Member]NodeStatus {
	p := s.peers()
	replies := make(chan []NodeStatus, len(p.remote))
	for _, members := range p.remote {
		go func() { replies <- s.queryDataCentre(ctx, members) }()
	}
	reported := make(map[domain.Member]NodeStatus)
	for range p.remote {
		for _, node := range <-replies {
			if node.Error == "" {
				reported[node.Member] = node
			}
		}
	}
	return reported
}

// queryDataCentre queries the representatives of a data centre until one answers.
func (s *Service) queryDataCentre(ctx context.Context, members []domain.Member) []NodeStatus {
	for _, to := range representatives(partnerRankKey, members, s.options.Watchers) {
		// The queried node waits for its own calls in turn.
		bounded, cancel := context.WithTimeout(ctx, 2*s.options.CallTimeout)
		reply, err := peer.Call[statusRequest, dataCentreStatusReply](bounded, s.options.Transport, to, methodDataCentreStatus, statusRequest{})
		cancel()
		if err == nil {
			return reply.Nodes
		}
	}
	return nil
}

// serveDataCentreStatus returns the status of the reachable nodes of this data centre.
func (s *Service) serveDataCentreStatus(ctx context.Context, _ domain.Member, _ statusRequest) (dataCentreStatusReply, error) {
	members := s.peers().local
	nodes := make([]NodeStatus, len(members))
	var group errgroup.Group
	group.SetLimit(maxConcurrentStatusCalls)
	for i, member := range members {
		group.Go(func() error {
			nodes[i] = s.queryNode(ctx, membership.Peer{Member: member})
			return nil
		})
	}
	_ = group.Wait()
	return dataCentreStatusReply{Nodes: slices.DeleteFunc(nodes, func(n NodeStatus) bool { return n.Error != "" })}, nil
}

func (s *Service) queryNode(ctx context.Context, p membership.Peer) NodeStatus {
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
