package membership

import (
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// payloadFor returns the payload for a message to a peer: this node's own state,
// pending changes, and the record that the peer has to refute, if any.
func (s *Service) payloadFor(to domain.Member) gossipPayload {
	s.mu.Lock()
	defer s.mu.Unlock()
	payload := s.localPayload()
	payload.Digest = s.table.digest()
	payload.Records, payload.Reachability = s.broadcasts.piggyback(piggybackLimit, s.delegation.nodeCount)
	if toRefute := s.recordToRefute(to); toRefute != nil {
		payload.Records = append(payload.Records, *toRefute)
	}
	return payload
}

// localPayload returns this node's own state. The caller holds the lock.
func (s *Service) localPayload() gossipPayload {
	return gossipPayload{Version: s.local.version, Intent: s.local.intent}
}

// recordToRefute returns the record of a peer that is suspect or worse, or that a
// later incarnation has replaced, so that the peer learns of it. It returns nil
// if there is none. The caller holds the lock.
func (s *Service) recordToRefute(of domain.Member) *record {
	e := s.table.entries[of.Node]
	if e == nil || e.Incarnation == 0 {
		return nil
	}
	replaced := of.Incarnation != 0 && e.Incarnation > of.Incarnation
	if e.Health == healthOK && !replaced {
		return nil
	}
	toRefute := e.record
	return &toRefute
}

// applyPayload merges a peer's own state and the changes that it forwards.
func (s *Service) applyPayload(from domain.Member, payload gossipPayload) {
	s.mu.Lock()
	defer s.mu.Unlock()
	acceptSuspicions := s.acceptsSuspicionsFrom(from)
	changed := s.mergeRecord(newRecord(from, payload.Version, payload.Intent), true)
	for _, r := range payload.Records {
		if acceptSuspicions || r.Health == healthOK {
			changed = s.mergeRecord(r, true) || changed
		}
	}
	for _, c := range payload.Reachability {
		changed = s.mergeReachability(c, true) || changed
	}
	if changed {
		s.publish()
	}
}

// acceptsSuspicionsFrom reports whether a peer's reports of unhealthy nodes are
// merged. Those of a peer that is itself unreachable are not: it may be unable to
// receive, and so find every node unreachable.
func (s *Service) acceptsSuspicionsFrom(from domain.Member) bool {
	e := s.table.entries[from.Node]
	return e == nil || e.Incarnation != from.Incarnation || e.Health < healthUnreachable
}

// mergeRecord merges a record and, if enqueue is true, queues it for
// dissemination if it was new. Records of this node are handled separately. The
// caller holds the lock.
func (s *Service) mergeRecord(r record, enqueue bool) bool {
	if r.Node == s.self.Node {
		return s.handleLocalRecord(r)
	}
	if s.table.merge(r, time.Now()) {
		s.sync.lastChange = time.Now()
		if enqueue {
			s.enqueueBroadcast(r)
		}
		return true
	}
	known := s.table.entries[r.Node]
	if known != nil && known.sameVersion(r) && r.Health == healthOK && known.Health >= healthUnreachable {
		s.detector.addDisputed(r.Node)
	}
	return false
}

func (s *Service) mergeReachability(c reachability, enqueue bool) bool {
	if c.Node == s.self.Node || !s.table.mergeReachability(c) {
		return false
	}
	s.sync.lastChange = time.Now()
	if enqueue {
		s.broadcasts.addReachability(c)
		signal(s.pushPending)
	}
	return true
}

// enqueueBroadcast queues a record for dissemination within the data centre. The
// caller holds the lock.
func (s *Service) enqueueBroadcast(r record) {
	s.broadcasts.addRecord(r)
	signal(s.pushPending)
}
