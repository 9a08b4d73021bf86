package membership

import (
	"context"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/hostlist"
	"hawthornrill.example/hawthornrill/pacing"
	"hawthornrill.example/hawthornrill/peer"
)

// listLoop reads the host list while this node is one of its delegates or has not
// joined yet.
func (s *Service) listLoop(ctx context.Context) {
	if s.options.HostList == nil {
		return
	}
	for {
		if s.readsList() {
			s.readList(ctx)
		}
		if !pacing.Sleep(ctx, s.options.HostListInterval/2+s.jitter(s.options.HostListInterval)) {
			return
		}
	}
}

func (s *Service) readsList() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sync.joinedAt.IsZero() || s.delegation.readsList(s.self.Node)
}

// readList reads the list and acts on it. A list that can't be had changes
// nothing.
func (s *Service) readList(ctx context.Context) {
	readCtx, cancel := context.WithTimeout(ctx, s.options.HostListInterval)
	defer cancel()
	hosts, err := s.options.HostList.List(readCtx)
	if err != nil {
		s.metrics.listFailures.Inc()
		s.options.Logger.Debug().Err(err).Msg("host list not read")
		return
	}
	v := s.judgeList(hosts)
	s.tellListed(ctx, v.leaving, true)
	s.tellListed(ctx, v.staying, false)
}

// judgeList takes over what the list says.
func (s *Service) judgeList(hosts []hostlist.Host) listVerdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.listing.judge(hosts, s.table, s.delegation.up, s.self.Node, s.options.GoneAfter, time.Now())
	for _, r := range v.learn {
		if s.learn(r, true) && r.Health == healthGone {
			s.options.Logger.Info().Str("peer", r.member().String()).Msg("peer gone: unreachable and off the host list")
		}
	}
	s.publish()
	return v
}

// tellListed tells lives what the list says of them, so that they say it
// themselves.
func (s *Service) tellListed(ctx context.Context, members []domain.Member, leaving bool) {
	for _, to := range members {
		s.running.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, s.options.ExchangeTimeout)
			defer cancel()
			_, _ = peer.Call[listedRequest, empty](ctx, s.transport, to, methodListed, listedRequest{leaving})
		})
	}
}
