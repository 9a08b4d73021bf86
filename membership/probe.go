package membership

import (
	"context"
	"errors"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/pacing"
	"hawthornrill.example/hawthornrill/peer"
)

// oversleepFactor times the probe timeout past a deadline is taken for a pause of
// this process.
const oversleepFactor = 3

// dueProbes returns the peer to probe now, if any.
func (s *Service) dueProbes(time.Time) []domain.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	target, ok := s.detector.next(s.table, s.self.Node, s.random)
	if !ok {
		return nil
	}
	s.detector.probing[target.Node] = true
	return []domain.Member{target}
}

// probe finds out whether a peer is there: directly, then through others, then by
// suspecting it and asking on until it answers, refutes or the time is up.
func (s *Service) probe(ctx context.Context, target domain.Member) {
	defer s.endProbe(target.Node)
	s.metrics.probes.Inc()
	if s.ping(ctx, target) {
		return
	}
	if s.pingThroughOthers(ctx, target) || ctx.Err() != nil {
		return
	}
	version, ok := s.suspect(target)
	if !ok {
		return
	}
	if !s.askOn(ctx, target) {
		s.declareUnreachable(target, version)
	}
}

func (s *Service) endProbe(node domain.NodeID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.detector.probing, node)
}

// askOn pings a suspect, directly and through others, for the suspicion timeout. It reports whether the suspicion is over, or the context. If this process
// was paused meanwhile, it begins again: the time that it slept says nothing about
// the peer.
func (s *Service) askOn(ctx context.Context, target domain.Member) bool {
	for {
		deadline := time.Now().Add(s.options.SuspicionTimeout)
		if s.askUntil(ctx, target, deadline) {
			return true
		}
		if time.Since(deadline) < oversleepFactor*s.options.ProbeTimeout {
			return false
		}
	}
}

// askUntil is askOn up to a deadline.
func (s *Service) askUntil(ctx context.Context, target domain.Member, deadline time.Time) bool {
	askCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	for time.Now().Before(deadline) {
		next := time.Now().Add(s.options.ProbeTimeout)
		if s.ping(askCtx, target) {
			return true
		}
		if s.pingThroughOthers(askCtx, target) || !s.isSuspect(target) {
			return true
		}
		if !pacing.Sleep(ctx, time.Until(next)) {
			return true
		}
	}
	return false
}

// ping pings a peer directly and takes over what it answers.
func (s *Service) ping(ctx context.Context, target domain.Member) bool {
	answer, err := s.sendPing(ctx, target, s.newsFor(target))
	if err != nil {
		return false
	}
	s.compare(answer.from, answer.Digest)
	return true
}

// answer is what a ping brought.
type answer struct {
	news
	// from is the life that answered.
	from domain.Member
}

// sendPing pings a peer and takes over what it answers. Any life answers for a
// target with incarnation zero.
func (s *Service) sendPing(ctx context.Context, target domain.Member, n news) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, s.options.ProbeTimeout)
	defer cancel()
	request := ping{news: n, Introduce: target.Incarnation == 0}
	reply, err := peer.Call[ping, ack](ctx, s.transport, target, methodPing, request)
	if err != nil {
		s.metrics.probeFailures.Inc()
		return answer{}, err
	}
	if reply.Member != nil && reply.Member.Node == target.Node {
		target = *reply.Member
	}
	if target.Incarnation == 0 {
		return answer{}, errNotIntroduced
	}
	s.absorb(target, reply.news)
	return answer{reply.news, target}, nil
}

// errNotIntroduced means that a life did not say which it is.
var errNotIntroduced = errors.New("membership: peer did not introduce itself")

// pingThroughOthers asks relays to ping the peer, and reports whether it answered
// one of them.
func (s *Service) pingThroughOthers(ctx context.Context, target domain.Member) bool {
	// A relay waits for the peer as long as this node did.
	ctx, cancel := context.WithTimeout(ctx, 2*s.options.ProbeTimeout)
	defer cancel()
	relays, accusation := s.planRelays(target)
	answers := make(chan relayReply, len(relays))
	for _, relay := range relays {
		s.running.Go(func() { answers <- s.askRelay(ctx, relay, relayRequest{target, accusation}) })
	}
	for range relays {
		if answer := <-answers; answer.Answered {
			s.absorb(target, news{Version: answer.Version, Intent: answer.Intent})
			return true
		}
	}
	return false
}

// askRelay returns the relay's answer; without one the peer has not answered.
func (s *Service) askRelay(ctx context.Context, relay domain.Member, request relayRequest) relayReply {
	reply, err := peer.Call[relayRequest, relayReply](ctx, s.transport, relay, methodRelay, request)
	if err != nil {
		return relayReply{}
	}
	return reply
}

func (s *Service) planRelays(target domain.Member) ([]domain.Member, *record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	relays := s.table.relays(target.Node, s.self.Node, s.options.Relays, s.delegation.up, s.random)
	return relays, s.accusationOf(target)
}

// dueChecks returns the peers to ping in case they are back.
func (s *Service) dueChecks(now time.Time) []domain.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.detector.checks(s.table, now, s.random)
}

// check pings a peer that is held to be unreachable.
func (s *Service) check(ctx context.Context, target domain.Member) { s.ping(ctx, target) }
