package membership

import (
	"context"
	"errors"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/pacing"
	"hawthornrill.example/hawthornrill/peer"
)

// A probe that overruns its deadline by this factor times the probe timeout is
// taken to have been interrupted by a pause of this process.
const pauseDetectionFactor = 3

// dueProbes returns the peer to probe now, if any.
func (s *Service) dueProbes(time.Time) []domain.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	target, ok := s.detector.next(s.table, s.delegation.ring, s.self.Node, s.random)
	if !ok {
		return nil
	}
	s.detector.probing[target.Node] = true
	return []domain.Member{target}
}

// probe checks a peer with a direct ping, then through relays. If neither
// succeeds, it marks the peer as suspect and retries until the peer answers or
// refutes, or the suspicion times out.
func (s *Service) probe(ctx context.Context, target domain.Member) {
	defer s.endProbe(target.Node)
	s.metrics.probes.Inc()
	if s.ping(ctx, target) {
		return
	}
	if s.pingIndirectly(ctx, target) || ctx.Err() != nil {
		return
	}
	version, ok := s.suspect(target)
	if !ok {
		return
	}
	if !s.awaitRefutation(ctx, target) {
		s.declareUnreachable(target, version)
	}
}

func (s *Service) endProbe(node domain.NodeID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.detector.probing, node)
}

// awaitRefutation pings a suspect, directly and through relays, for the suspicion
// timeout. It reports whether the suspicion was lifted or the context has ended.
// If this process was paused meanwhile, the timeout starts again, as the time of
// the pause says nothing about the peer.
func (s *Service) awaitRefutation(ctx context.Context, target domain.Member) bool {
	for {
		deadline := time.Now().Add(s.options.SuspicionTimeout)
		if s.awaitRefutationUntil(ctx, target, deadline) {
			return true
		}
		if time.Since(deadline) < pauseDetectionFactor*s.options.ProbeTimeout {
			return false
		}
	}
}

// awaitRefutationUntil is awaitRefutation with a fixed deadline.
func (s *Service) awaitRefutationUntil(ctx context.Context, target domain.Member, deadline time.Time) bool {
	deadlineCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	for time.Now().Before(deadline) {
		next := time.Now().Add(s.options.ProbeTimeout)
		if s.ping(deadlineCtx, target) {
			return true
		}
		if s.pingIndirectly(deadlineCtx, target) || !s.isSuspect(target) {
			return true
		}
		if !pacing.Sleep(ctx, time.Until(next)) {
			return true
		}
	}
	return false
}

// ping pings a peer directly and merges its reply.
func (s *Service) ping(ctx context.Context, target domain.Member) bool {
	result, err := s.sendPing(ctx, target, s.payloadFor(target))
	if err != nil {
		return false
	}
	s.compareDigest(result.from, result.Digest)
	return true
}

// pingResult is the payload of a ping's reply and its sender.
type pingResult struct {
	gossipPayload
	// from is the member that answered.
	from domain.Member
}

// sendPing pings a peer and merges its reply. For a target with incarnation zero,
// any incarnation may answer.
func (s *Service) sendPing(ctx context.Context, target domain.Member, payload gossipPayload) (pingResult, error) {
	ctx, cancel := context.WithTimeout(ctx, s.options.ProbeTimeout)
	defer cancel()
	request := ping{gossipPayload: payload, Identify: target.Incarnation == 0}
	reply, err := peer.Call[ping, ack](ctx, s.transport, target, methodPing, request)
	if err != nil {
		s.metrics.probeFailures.Inc()
		return pingResult{}, err
	}
	if reply.Member != nil && reply.Member.Node == target.Node {
		target = *reply.Member
	}
	if target.Incarnation == 0 {
		return pingResult{}, errUnidentified
	}
	s.applyPayload(target, reply.gossipPayload)
	return pingResult{reply.gossipPayload, target}, nil
}

// errUnidentified means that a reply did not name the responding member.
var errUnidentified = errors.New("membership: ping reply does not identify the responding member")

// pingIndirectly asks relays to ping the peer, and reports whether any of them
// got an answer.
func (s *Service) pingIndirectly(ctx context.Context, target domain.Member) bool {
	// A relay waits as long for the peer as this node did.
	ctx, cancel := context.WithTimeout(ctx, 2*s.options.ProbeTimeout)
	defer cancel()
	relays, toRefute := s.chooseRelays(target)
	replies := make(chan relayReply, len(relays))
	for _, relay := range relays {
		s.running.Go(func() { replies <- s.callRelay(ctx, relay, relayRequest{target, toRefute}) })
	}
	for range relays {
		if result := <-replies; result.Answered {
			s.applyPayload(target, gossipPayload{Version: result.Version, Intent: result.Intent})
			return true
		}
	}
	return false
}

// callRelay returns the relay's reply. If the call fails, the peer counts as not
// having answered.
func (s *Service) callRelay(ctx context.Context, relay domain.Member, request relayRequest) relayReply {
	reply, err := peer.Call[relayRequest, relayReply](ctx, s.transport, relay, methodRelay, request)
	if err != nil {
		return relayReply{}
	}
	return reply
}

func (s *Service) chooseRelays(target domain.Member) ([]domain.Member, *record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	relays := s.table.randomPeers(target.Node, s.self.Node, s.options.Relays, s.delegation.reachable, s.random)
	return relays, s.recordToRefute(target)
}

// dueRechecks returns the peers to ping in case they have recovered.
func (s *Service) dueRechecks(now time.Time) []domain.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.detector.recheckTargets(s.table, now)
}

// recheck pings a peer that is unreachable in this node's table.
func (s *Service) recheck(ctx context.Context, target domain.Member) { s.ping(ctx, target) }
