package membership

import (
	"context"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/hostlist"
	"hawthornrill.example/hawthornrill/pacing"
	"hawthornrill.example/hawthornrill/peer"
)

// hostListLoop reads the host list while this node is one of its assigned readers
// or has not joined yet.
func (s *Service) hostListLoop(ctx context.Context) {
	if s.options.HostList == nil {
		return
	}
	for {
		if s.readsHostList() {
			s.readHostList(ctx)
		}
		if !pacing.Sleep(ctx, s.options.HostListInterval/2+s.jitter(s.options.HostListInterval)) {
			return
		}
	}
}

func (s *Service) readsHostList() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sync.joinedAt.IsZero() || s.delegation.readsHostList(s.self.Node)
}

// readHostList reads the list and applies it. If the read fails, nothing changes.
func (s *Service) readHostList(ctx context.Context) {
	readCtx, cancel := context.WithTimeout(ctx, s.options.HostListInterval)
	defer cancel()
	hosts, err := s.options.HostList.List(readCtx)
	if err != nil {
		s.metrics.listFailures.Inc()
		s.options.Logger.Debug().Err(err).Msg("reading the host list failed")
		return
	}
	decision := s.applyHostList(hosts)
	s.notifyListed(ctx, decision.leaving, true)
	s.notifyListed(ctx, decision.serving, false)
}

// applyHostList evaluates the list and merges the resulting records.
func (s *Service) applyHostList(hosts []hostlist.Host) hostListDecision {
	s.mu.Lock()
	defer s.mu.Unlock()
	decision := s.hostList.evaluate(hosts, s.table, s.delegation.reachable, s.self.Node, s.options.GoneAfter, time.Now())
	for _, r := range decision.records {
		if s.mergeRecord(r, true) && r.Health == healthGone {
			s.options.Logger.Info().Str("peer", r.member().String()).Msg("peer is gone: unreachable and absent from the host list")
		}
	}
	s.publish()
	return decision
}

// notifyListed tells members their state in the list, so that each changes its
// own record.
func (s *Service) notifyListed(ctx context.Context, members []domain.Member, leaving bool) {
	for _, to := range members {
		s.running.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, s.options.ExchangeTimeout)
			defer cancel()
			_, _ = peer.Call[listedRequest, empty](ctx, s.transport, to, methodListed, listedRequest{leaving})
		})
	}
}
