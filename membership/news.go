package membership

import (
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// newsFor returns what to tell a peer with any message: this node's own state,
// changes that are being passed on, and what is held against the peer.
func (s *Service) newsFor(to domain.Member) news {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.ownNews()
	n.Digest = s.table.digest()
	n.Records, n.Contacts = s.broadcasts.take(piggybackLimit, s.delegation.nodes)
	if accusation := s.accusationOf(to); accusation != nil {
		n.Records = append(n.Records, *accusation)
	}
	return n
}

// ownNews returns this node's own state. The lock is held.
func (s *Service) ownNews() news { return news{Version: s.own.version, Intent: s.own.intent} }

// accusationOf returns what a peer must know about itself: that it is held to be
// unwell, or that a later life has taken its place. Nil means nothing. The lock is
// held.
func (s *Service) accusationOf(of domain.Member) *record {
	e := s.table.entries[of.Node]
	if e == nil || e.Incarnation == 0 {
		return nil
	}
	replaced := of.Incarnation != 0 && e.Incarnation > of.Incarnation
	if e.Health == healthOK && !replaced {
		return nil
	}
	accusation := e.record
	return &accusation
}

// absorb takes over what a peer tells of itself and of others.
func (s *Service) absorb(from domain.Member, n news) {
	s.mu.Lock()
	defer s.mu.Unlock()
	trusted := s.trusts(from)
	changed := s.learn(newRecord(from, n.Version, n.Intent), true)
	for _, r := range n.Records {
		if trusted || r.Health == healthOK {
			changed = s.learn(r, true) || changed
		}
	}
	for _, c := range n.Contacts {
		changed = s.learnContact(c, true) || changed
	}
	if changed {
		s.publish()
	}
}

// trusts reports whether a peer's accusations count. Those of a peer that is
// itself unreachable do not: it may be deaf, and find everyone unreachable.
func (s *Service) trusts(from domain.Member) bool {
	e := s.table.entries[from.Node]
	return e == nil || e.Incarnation != from.Incarnation || e.Health < healthUnreachable
}

// learn merges a record and, if spread is true, passes on what is news. A record
// about this node itself is answered. The lock is held.
func (s *Service) learn(r record, spread bool) bool {
	if r.Node == s.self.Node {
		return s.defend(r)
	}
	if s.table.merge(r, time.Now()) {
		s.sync.changed = time.Now()
		if spread {
			s.spread(r)
		}
		return true
	}
	known := s.table.entries[r.Node]
	if known != nil && known.sameVersion(r) && r.Health == healthOK && known.Health >= healthUnreachable {
		s.detector.doubt(r.Node)
	}
	return false
}

func (s *Service) learnContact(c contact, spread bool) bool {
	if c.Node == s.self.Node || !s.table.mergeContact(c) {
		return false
	}
	s.sync.changed = time.Now()
	if spread {
		s.broadcasts.addContact(c)
		signal(s.fresh)
	}
	return true
}

// spread passes a record on within the data centre. The lock is held.
func (s *Service) spread(r record) {
	s.broadcasts.addRecord(r)
	signal(s.fresh)
}
