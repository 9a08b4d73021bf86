package membership

import (
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// suspect marks a peer that did not answer as suspect and returns the version
// that is suspected. It returns false if the record no longer applies: the peer
// has another incarnation, is gone or is unreachable already.
func (s *Service) suspect(target domain.Member) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.table.entries[target.Node]
	if e == nil || e.Incarnation != target.Incarnation || e.status() > StatusLeaving {
		return 0, false
	}
	s.metrics.suspicions.Inc()
	s.worsenHealth(e.record, healthSuspect)
	return e.Version, true
}

func (s *Service) isSuspect(target domain.Member) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.table.entries[target.Node]
	return e != nil && e.Incarnation == target.Incarnation && e.Health == healthSuspect
}

// declareUnreachable ends a suspicion that was not refuted.
func (s *Service) declareUnreachable(target domain.Member, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.table.entries[target.Node]
	if e == nil || e.Incarnation != target.Incarnation || e.Version != version || e.Health != healthSuspect {
		return
	}
	s.worsenHealth(e.record, healthUnreachable)
}

// worsenHealth merges a record with worse health and queues it for dissemination.
// The caller holds the lock.
func (s *Service) worsenHealth(r record, to health) {
	r.Health = to
	if !s.table.merge(r, time.Now()) {
		return
	}
	s.sync.lastChange = time.Now()
	if to >= healthUnreachable {
		s.metrics.declaredUnreachable.Inc()
		s.options.Logger.Info().Str("peer", r.member().String()).Str("status", r.status().String()).Msg("peer is unreachable")
	}
	s.enqueueBroadcast(r)
	s.publish()
}

// expireInterval is the interval at which expired records of members that are
// gone are removed.
const expireInterval = 10 * time.Second

// expire removes members that have been gone for longer than the retention.
func (s *Service) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.lastExpiry) < expireInterval {
		return
	}
	s.lastExpiry = now
	if s.table.removeGone(now.Add(-s.options.GoneRetention)) {
		s.publish()
	}
}
