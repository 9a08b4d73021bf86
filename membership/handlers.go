package membership

import (
	"context"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

func (s *Service) handle() {
	peer.Handle(s.transport, methodPing, s.servePing)
	peer.Handle(s.transport, methodRelay, s.serveRelay)
	peer.Handle(s.transport, methodPush, s.servePush)
	peer.Handle(s.transport, methodPull, s.servePull)
	peer.Handle(s.transport, methodListed, s.serveListed)
}

func (s *Service) servePing(_ context.Context, from domain.Member, request ping) (ack, error) {
	s.applyPayload(from, request.gossipPayload)
	s.compareDigest(from, request.Digest)
	reply := ack{gossipPayload: s.payloadFor(from)}
	if request.Identify {
		self := s.self
		reply.Member = &self
	}
	return reply, nil
}

// serveRelay pings the target and returns the result.
func (s *Service) serveRelay(ctx context.Context, _ domain.Member, request relayRequest) (relayReply, error) {
	payload := s.payloadFor(request.Target)
	if request.ToRefute != nil {
		payload.Records = append(payload.Records, *request.ToRefute)
	}
	result, err := s.sendPing(ctx, request.Target, payload)
	if err != nil {
		return relayReply{}, nil
	}
	return relayReply{Answered: true, Version: result.Version, Intent: result.Intent}, nil
}

func (s *Service) servePush(_ context.Context, from domain.Member, request pushRequest) (empty, error) {
	s.applyPayload(from, request.gossipPayload)
	return empty{}, nil
}

func (s *Service) servePull(_ context.Context, from domain.Member, request pullRequest) (pullReply, error) {
	s.applyPayload(from, gossipPayload{Version: request.Version, Intent: request.Intent})
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := pullReply{Settled: s.settled(time.Now())}
	for dc, hash := range s.table.hashes {
		known, requested := request.Hashes[dc]
		if hash != known && (requested || request.All) {
			reply.Tables = append(reply.Tables, dataCentreTable{dc, s.table.recordsOf(dc)})
		}
	}
	if request.All {
		for _, c := range s.table.reachability {
			reply.Reachability = append(reply.Reachability, c)
		}
	}
	return reply, nil
}

// serveListed applies what the host list says of this node. A state that the node
// has announced itself takes precedence.
func (s *Service) serveListed(_ context.Context, _ domain.Member, request listedRequest) (empty, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setListed(request.Leaving)
	return empty{}, nil
}

// setListed records whether the host list has this node as leaving. The caller
// holds the lock.
func (s *Service) setListed(leaving bool) {
	switch {
	case leaving && s.local.intent == intentServing:
		s.setLocalState(s.local.version+1, intentListedLeaving)
	case !leaving && s.local.intent == intentListedLeaving:
		s.setLocalState(s.local.version+1, intentServing)
	default:
		return
	}
	s.publish()
}
