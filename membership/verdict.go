package membership

import (
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// suspect accuses a peer that did not answer. It returns the version accused, and
// false if the peer is known to be elsewhere by now: another life, gone, or
// unreachable already.
func (s *Service) suspect(target domain.Member) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.table.entries[target.Node]
	if e == nil || e.Incarnation != target.Incarnation || e.status() > StatusLeaving {
		return 0, false
	}
	s.metrics.suspicions.Inc()
	s.accuse(e.record, healthSuspect)
	return e.Version, true
}

// isSuspect reports whether the peer still is a suspect.
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
	s.accuse(e.record, healthUnreachable)
}

// accuse takes a worse health over and passes it on. The lock is held.
func (s *Service) accuse(r record, to health) {
	r.Health = to
	if !s.table.merge(r, time.Now()) {
		return
	}
	s.sync.changed = time.Now()
	if to >= healthUnreachable {
		s.metrics.declared.Inc()
		s.options.Logger.Info().Str("peer", r.member().String()).Str("status", r.status().String()).Msg("peer lost")
	}
	s.spread(r)
	s.publish()
}

// expireInterval is how often lives that have been gone for long are looked for.
const expireInterval = 10 * time.Second

// expire forgets lives that have been gone for long.
func (s *Service) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.expired) < expireInterval {
		return
	}
	s.expired = now
	if s.table.forgetGone(now.Add(-s.options.GoneRetention)) {
		s.publish()
	}
}
