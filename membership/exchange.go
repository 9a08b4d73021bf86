package membership

import (
	"context"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/pacing"
	"hawthornrill.example/hawthornrill/rendezvous"
)

// exchangeAttempts is how many nodes of a data centre are tried before it counts
// as cut off.
const exchangeAttempts = 4

// exchanges are this node's duties as a delegate.
type exchanges struct {
	// next is when each data centre is to be contacted again.
	next map[domain.DataCentre]time.Time
	// running are the data centres being contacted.
	running map[domain.DataCentre]bool
}

// dueExchanges returns the data centres to contact now. A new delegate begins at
// once.
func (s *Service) dueExchanges(now time.Time) []domain.DataCentre {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := make(map[domain.DataCentre]time.Time)
	var due []domain.DataCentre
	for _, dc := range s.delegation.contacted(s.self.Node) {
		next[dc] = s.exchanges.next[dc]
		if s.exchanges.running[dc] || now.Before(next[dc]) {
			continue
		}
		next[dc] = now.Add(s.options.ExchangeInterval)
		s.exchanges.running[dc] = true
		due = append(due, dc)
	}
	s.exchanges.next = next
	return due
}

// exchange contacts another data centre: it tries a few of its nodes, fetches what
// has changed there, and says whether any of them answered.
func (s *Service) exchange(ctx context.Context, dc domain.DataCentre) {
	defer s.endExchange(dc)
	contacts := s.contactsIn(dc)
	if len(contacts) == 0 {
		return
	}
	for attempt := range exchangeAttempts {
		started := time.Now()
		if s.pullDataCentre(ctx, contacts[attempt%len(contacts)]) {
			s.setContact(dc, true)
			return
		}
		// An attempt that fails at once is not followed by the next at once.
		if !pacing.Sleep(ctx, s.options.ExchangeTimeout/2-time.Since(started)) {
			return
		}
	}
	s.setContact(dc, false)
}

func (s *Service) endExchange(dc domain.DataCentre) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.exchanges.running, dc)
}

// contactsIn returns the nodes of a data centre to try, those that its own nodes
// hold to be well first, in an order that stays the same: a delegate keeps its
// contact, and the link to it, while it answers.
func (s *Service) contactsIn(dc domain.DataCentre) []domain.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	var well, unwell []domain.Member
	for _, r := range s.table.records(dc) {
		switch {
		case r.gone():
		case r.Health == healthOK && r.Incarnation != 0:
			well = append(well, r.member())
		default:
			unwell = append(unwell, r.member())
		}
	}
	name := func(m domain.Member) string { return string(m.Node) }
	well = rendezvous.Order(string(s.self.Node), well, name)
	shuffle(unwell, s.random)
	return append(well, unwell...)
}

// setContact says whether this node reaches a data centre, if that is news.
func (s *Service) setContact(dc domain.DataCentre, up bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.table.contacts[contactKey{s.self.Node, dc}]
	if ok && known.Up == up || s.own.replaced {
		return
	}
	c := contact{
		Node:        s.self.Node,
		Incarnation: s.self.Incarnation,
		DataCentre:  dc,
		Sequence:    known.Sequence + 1,
		Up:          up,
	}
	s.table.mergeContact(c)
	s.sync.changed = time.Now()
	s.broadcasts.addContact(c)
	signal(s.fresh)
	s.options.Logger.Info().Str("data_centre", string(dc)).Bool("reached", up).Msg("contact with data centre")
	s.publish()
}
