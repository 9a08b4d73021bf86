package membership

import "time"

// ownState is what this node says of itself.
type ownState struct {
	version uint64
	intent  intent
	// replaced is true once a later life of this node has been seen.
	replaced bool
}

// defend answers a record about this node itself: an accusation is refuted by a
// higher version, a later life is taken note of. The lock is held.
func (s *Service) defend(r record) bool {
	switch {
	case r.Incarnation > s.self.Incarnation:
		return s.replace(r)
	case r.Incarnation < s.self.Incarnation || s.own.replaced:
		return false
	case r.Version < s.own.version || r.Version == s.own.version && r.Health == healthOK:
		return false
	}
	s.metrics.refutations.Inc()
	s.setOwn(r.Version+1, s.own.intent)
	return true
}

// replace notes that a later life of this node runs. This one is over.
func (s *Service) replace(r record) bool {
	if !s.table.merge(r, time.Now()) {
		return false
	}
	s.own.replaced = true
	s.options.Logger.Error().Str("self", s.self.String()).Str("later", r.member().String()).
		Msg("a later life of this node runs: this one is over")
	return true
}

// setOwn changes what this node says of itself and passes it on. The lock is held.
func (s *Service) setOwn(version uint64, in intent) {
	s.own.version, s.own.intent = version, in
	r := newRecord(s.self, version, in)
	if s.own.replaced || !s.table.merge(r, time.Now()) {
		return
	}
	s.sync.changed = time.Now()
	s.spread(r)
}
