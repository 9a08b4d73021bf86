package membership

import (
	"context"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/rendezvous"
)

// exchangeAttempts is the number of attempts, spread over the nodes of a data
// centre, before the data centre is reported as unreachable.
const exchangeAttempts = 4

// exchangeState schedules the exchanges of this node as a delegate.
type exchangeState struct {
	// next is when the next exchange with each data centre is due.
	next map[domain.DataCentre]time.Time
	// running holds the data centres with an exchange in progress.
	running map[domain.DataCentre]bool
}

// dueExchanges returns the data centres to exchange state with now. A new
// delegate starts without waiting for the interval.
func (s *Service) dueExchanges(now time.Time) []domain.DataCentre {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := make(map[domain.DataCentre]time.Time)
	var due []domain.DataCentre
	for _, dc := range s.delegation.assignedDataCentres(s.self.Node) {
		next[dc] = s.exchanges.next[dc]
		// Half a tick of tolerance keeps a late tick from delaying the exchange by
		// another one.
		if s.exchanges.running[dc] || now.Add(s.options.ProbeInterval/2).Before(next[dc]) {
			continue
		}
		next[dc] = now.Add(s.options.ExchangeInterval)
		s.exchanges.running[dc] = true
		due = append(due, dc)
	}
	s.exchanges.next = next
	return due
}

// exchange pulls changes from another data centre, trying several of its nodes,
// and reports whether any of them answered.
func (s *Service) exchange(ctx context.Context, dc domain.DataCentre) {
	defer s.endExchange(dc)
	targets := s.exchangeTargets(dc)
	if len(targets) == 0 {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	attempts := exchangeAttemptGroup{answers: make(chan bool, exchangeAttempts)}
	for attempt := range exchangeAttempts {
		attempts.open++
		s.running.Go(func() { attempts.answers <- s.pullDataCentre(ctx, targets[attempt%len(targets)]) })
		// The first attempt may go to a node that has just stopped, so the second one
		// does not wait for its timeout.
		if attempts.await(ctx, s.options.ExchangeTimeout/2, attempt == 0) {
			s.setReachable(dc, true)
			return
		}
		if ctx.Err() != nil {
			return
		}
	}
	s.setReachable(dc, false)
}

// exchangeAttemptGroup is the attempts of one exchange.
type exchangeAttemptGroup struct {
	answers chan bool
	// open is the number of attempts in progress.
	open int
}

// await reports whether an attempt is answered. It returns false once the pace has
// elapsed, so that a failure without delay does not cause the next attempt at once,
// and, unless the next attempt is to overlap, all attempts have failed.
func (g *exchangeAttemptGroup) await(ctx context.Context, pace time.Duration, overlap bool) bool {
	paced := time.NewTimer(pace)
	defer paced.Stop()
	for elapsed := false; !elapsed || !overlap && g.open > 0; {
		select {
		case answered := <-g.answers:
			if answered {
				return true
			}
			g.open--
		case <-paced.C:
			elapsed = true
		case <-ctx.Done():
			return false
		}
	}
	return false
}

func (s *Service) endExchange(dc domain.DataCentre) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.exchanges.running, dc)
}

// exchangeTargets returns the nodes of a data centre to try, those that its own
// nodes hold to be healthy first. Their order is stable, so that a delegate
// reuses the same peer, and the link to it, while that peer answers.
func (s *Service) exchangeTargets(dc domain.DataCentre) []domain.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	var healthy, unhealthy []domain.Member
	for _, r := range s.table.recordsOf(dc) {
		switch {
		case r.gone():
		case r.Health == healthOK && r.Incarnation != 0:
			healthy = append(healthy, r.member())
		default:
			unhealthy = append(unhealthy, r.member())
		}
	}
	name := func(m domain.Member) string { return string(m.Node) }
	healthy = rendezvous.Order(string(s.self.Node), healthy, name)
	shuffle(unhealthy, s.random)
	return append(healthy, unhealthy...)
}

// setReachable reports whether this node reaches a data centre, if that has
// changed.
func (s *Service) setReachable(dc domain.DataCentre, reachable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.table.reachability[reachabilityKey{s.self.Node, dc}]
	if ok && known.Reachable == reachable || s.local.replaced {
		return
	}
	report := reachability{
		Node:        s.self.Node,
		Incarnation: s.self.Incarnation,
		DataCentre:  dc,
		Sequence:    known.Sequence + 1,
		Reachable:   reachable,
	}
	s.table.mergeReachability(report)
	s.sync.lastChange = time.Now()
	s.broadcasts.addReachability(report)
	signal(s.pushPending)
	s.options.Logger.Info().Str("data_centre", string(dc)).Bool("reached", reachable).Msg("contact with data centre")
	s.publish()
}
