package membership

import "time"

// localState is what this node announces about itself.
type localState struct {
	version uint64
	intent  intent
	// replaced is true once a later incarnation of this node has been seen.
	replaced bool
}

// handleLocalRecord handles a received record of this node: one with worse health
// or a higher version is refuted by raising the version, a later incarnation is
// recorded. The caller holds the lock.
func (s *Service) handleLocalRecord(r record) bool {
	switch {
	case r.Incarnation > s.self.Incarnation:
		return s.markReplaced(r)
	case r.Incarnation < s.self.Incarnation || s.local.replaced:
		return false
	case r.Version < s.local.version || r.Version == s.local.version && r.Health == healthOK:
		return false
	}
	s.metrics.refutations.Inc()
	s.setLocalState(r.Version+1, s.local.intent)
	return true
}

// markReplaced records that a later incarnation of this node is running, which
// ends this one.
func (s *Service) markReplaced(r record) bool {
	if !s.table.merge(r, time.Now()) {
		return false
	}
	s.local.replaced = true
	s.options.Logger.Error().Str("self", s.self.String()).Str("later", r.member().String()).
		Msg("a later life of this node runs: this one is over")
	return true
}

// setLocalState changes this node's own record and queues it for dissemination.
// The caller holds the lock.
func (s *Service) setLocalState(version uint64, in intent) {
	s.local.version, s.local.intent = version, in
	r := newRecord(s.self, version, in)
	if s.local.replaced || !s.table.merge(r, time.Now()) {
		return
	}
	s.sync.lastChange = time.Now()
	s.enqueueBroadcast(r)
}
