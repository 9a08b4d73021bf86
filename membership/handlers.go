package membership

import (
	"context"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

// handle registers the handlers.
func (s *Service) handle() {
	peer.Handle(s.transport, methodPing, s.servePing)
	peer.Handle(s.transport, methodRelay, s.serveRelay)
	peer.Handle(s.transport, methodPush, s.servePush)
	peer.Handle(s.transport, methodPull, s.servePull)
	peer.Handle(s.transport, methodListed, s.serveListed)
}

func (s *Service) servePing(_ context.Context, from domain.Member, request ping) (ack, error) {
	s.absorb(from, request.news)
	s.compare(from, request.Digest)
	reply := ack{news: s.newsFor(from)}
	if request.Introduce {
		self := s.self
		reply.Member = &self
	}
	return reply, nil
}

// serveRelay pings the target and tells what came of it.
func (s *Service) serveRelay(ctx context.Context, _ domain.Member, request relayRequest) (relayReply, error) {
	n := s.newsFor(request.Target)
	if request.Accusation != nil {
		n.Records = append(n.Records, *request.Accusation)
	}
	answer, err := s.sendPing(ctx, request.Target, n)
	if err != nil {
		return relayReply{}, nil
	}
	return relayReply{Answered: true, Version: answer.Version, Intent: answer.Intent}, nil
}

func (s *Service) servePush(_ context.Context, from domain.Member, request pushRequest) (empty, error) {
	s.absorb(from, request.news)
	return empty{}, nil
}

func (s *Service) servePull(_ context.Context, from domain.Member, request pullRequest) (pullReply, error) {
	s.absorb(from, news{Version: request.Version, Intent: request.Intent})
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := pullReply{Settled: s.settled(time.Now())}
	for dc, hash := range s.table.hashes {
		known, asked := request.Hashes[dc]
		if hash != known && (asked || request.All) {
			reply.Tables = append(reply.Tables, dataCentreTable{dc, s.table.records(dc)})
		}
	}
	if request.All {
		for _, c := range s.table.contacts {
			reply.Contacts = append(reply.Contacts, c)
		}
	}
	return reply, nil
}

// serveListed takes note of what the host list says of this node. The node's own
// word goes before it.
func (s *Service) serveListed(_ context.Context, _ domain.Member, request listedRequest) (empty, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setListed(request.Leaving)
	return empty{}, nil
}

// setListed notes whether the host list says that this node leaves. The lock is
// held.
func (s *Service) setListed(leaving bool) {
	switch {
	case leaving && s.own.intent == intentServing:
		s.setOwn(s.own.version+1, intentListedLeaving)
	case !leaving && s.own.intent == intentListedLeaving:
		s.setOwn(s.own.version+1, intentServing)
	default:
		return
	}
	s.publish()
}
