package quarantine

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/membership"
	"hawthornrill.example/hawthornrill/peer"
	"hawthornrill.example/hawthornrill/routing"
)

// Service replicates a node's Set to the other nodes. New evidence is sent to all nodes of the data
// centre and to one node of each other data centre, which relays it there. Evidence that is lost, or
// sent while a node is down, is recovered by periodic pulls from one peer.
type Service struct {
	options Options
	set     *Set
	crashes *metrics.Counter

	mu        sync.Mutex
	pending   []Evidence
	wake      chan struct{}
	pullCount int
}

var _ routing.Quarantine = (*Service)(nil)

// New returns a Service and registers its handlers. Evidence is replicated only while Run is running.
func New(options Options) *Service {
	o := options.withDefaults()
	s := &Service{
		options: o,
		set:     NewSet(o),
		crashes: o.Metrics.GetOrCreateCounter("hawthornrill_quarantine_crash_evidence_total"),
		wake:    make(chan struct{}, 1),
	}
	o.Metrics.GetOrCreateGauge("hawthornrill_quarantine_contents", func() float64 { return float64(s.set.Len()) })
	peer.Handle(o.Transport, methodReport, s.handleReport)
	peer.Handle(o.Transport, methodPull, s.handlePull)
	return s
}

// Quarantined implements routing.Quarantine.
func (s *Service) Quarantined(fingerprint uint64) time.Duration {
	if s.set.Len() == 0 {
		return 0
	}
	return s.set.Quarantined(time.Now(), fingerprint)
}

// Suspect implements routing.Quarantine.
func (s *Service) Suspect(fingerprint uint64) bool {
	return s.set.Len() > 0 && s.set.Suspect(time.Now(), fingerprint)
}

// Crashed implements routing.Quarantine.
func (s *Service) Crashed(endpoint domain.EndpointID, fingerprint uint64, alone bool) {
	s.crashes.Inc()
	s.enqueue(s.set.Crashed(time.Now(), endpoint, fingerprint, alone))
	if remaining := s.Quarantined(fingerprint); remaining > 0 {
		s.options.Logger.Warn().Uint64("fingerprint", fingerprint).Dur("for", remaining).Msg("content quarantined")
	}
}

// Completed implements routing.Quarantine.
func (s *Service) Completed(fingerprint uint64) {
	if s.set.Len() > 0 {
		s.enqueue(s.set.Completed(time.Now(), fingerprint))
	}
}

// enqueue adds evidence to the next flush.
func (s *Service) enqueue(evidence []Evidence) {
	if len(evidence) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, evidence...)
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run replicates evidence until the context ends, and returns the context's error.
func (s *Service) Run(ctx context.Context) error {
	ticker := time.NewTicker(s.options.PullInterval)
	defer ticker.Stop()
	s.pull(ctx)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.wake:
			s.flush(ctx)
		case <-ticker.C:
			s.pull(ctx)
		}
	}
}

// flush waits for FlushDelay and sends the queued evidence.
func (s *Service) flush(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(s.options.FlushDelay):
	}
	s.mu.Lock()
	evidence := s.pending
	s.pending = nil
	s.mu.Unlock()
	for len(evidence) > 0 {
		part := evidence[:min(len(evidence), maxMessageEvidence)]
		evidence = evidence[len(part):]
		s.broadcast(ctx, part)
	}
}

// broadcast sends evidence to the nodes of the data centre and to one node of each other.
func (s *Service) broadcast(ctx context.Context, evidence []Evidence) {
	groups := s.peers()
	own := s.options.Transport.Self().DataCentre
	s.send(ctx, groups[own], report{Evidence: evidence})
	for dataCentre, members := range groups {
		if dataCentre != own {
			relay := members[int(evidence[0].Fingerprint%uint64(len(members)))]
			s.send(ctx, []domain.Member{relay}, report{Evidence: evidence, Relay: true})
		}
	}
}

func (s *Service) send(ctx context.Context, members []domain.Member, r report) {
	for _, m := range members {
		if err := peer.Send(ctx, s.options.Transport, m, methodReport, r); err != nil {
			s.options.Logger.Debug().Err(err).Stringer("peer", m).Msg("failed to send quarantine evidence")
		}
	}
}

// peers returns the other nodes that are alive or leaving, by data centre.
func (s *Service) peers() map[domain.DataCentre][]domain.Member {
	groups := make(map[domain.DataCentre][]domain.Member)
	view := s.options.Membership.Current()
	if view == nil {
		return groups
	}
	for _, p := range view.Peers {
		if p.Node != view.Self.Node && p.Status <= membership.StatusLeaving {
			groups[p.DataCentre] = append(groups[p.DataCentre], p.Member)
		}
	}
	return groups
}

// handleReport merges the evidence and relays what is new if requested.
func (s *Service) handleReport(_ context.Context, _ domain.Member, r report) (struct{}, error) {
	added := s.set.Merge(time.Now(), r.Evidence)
	if r.Relay && len(added) > 0 {
		s.relay(report{Evidence: added})
	}
	return struct{}{}, nil
}

// relay forwards a report to the nodes of the data centre.
func (s *Service) relay(r report) {
	ctx, cancel := context.WithTimeout(context.Background(), s.options.CallTimeout)
	defer cancel()
	s.send(ctx, s.peers()[s.options.Transport.Self().DataCentre], r)
}

// handlePull returns all evidence if the digests differ.
func (s *Service) handlePull(_ context.Context, _ domain.Member, r pullRequest) (pullReply, error) {
	now := time.Now()
	if s.set.Digest(now, s.options.PullInterval) == r.Digest {
		return pullReply{}, nil
	}
	evidence := s.set.Evidence(now, s.options.PullInterval)
	return pullReply{Evidence: evidence}, nil
}

// pull fetches missing evidence from the next peer in round-robin order.
func (s *Service) pull(ctx context.Context) {
	var members []domain.Member
	for _, group := range s.peers() {
		members = append(members, group...)
	}
	if len(members) == 0 {
		return
	}
	target := memberByTurn(members, s.pullCount)
	s.pullCount++
	ctx, cancel := context.WithTimeout(ctx, s.options.CallTimeout)
	defer cancel()
	digest := s.set.Digest(time.Now(), s.options.PullInterval)
	reply, err := peer.Call[pullRequest, pullReply](ctx, s.options.Transport, target, methodPull, pullRequest{Digest: digest})
	if err != nil {
		s.options.Logger.Debug().Err(err).Stringer("peer", target).Msg("failed to pull quarantine evidence")
		return
	}
	s.set.Merge(time.Now(), reply.Evidence)
}

// memberByTurn returns the member for a turn, in an order that does not depend on that of the list.
func memberByTurn(members []domain.Member, turn int) domain.Member {
	slices.SortFunc(members, func(a, b domain.Member) int { return cmp.Compare(a.Node, b.Node) })
	return members[turn%len(members)]
}
