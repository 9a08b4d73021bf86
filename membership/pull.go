package membership

import (
	"context"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

const (
	// syncQuiet is how long a table must have been unchanged before a difference
	// from a peer's is taken for a missed change rather than one on its way.
	syncQuiet = 3 * time.Second
	// settleTime is how long after joining a node's table is taken to be complete.
	settleTime = 10 * time.Second
	// absentAge is how old an entry must be to be given up because its own data
	// centre does not know it.
	absentAge = time.Minute
)

// syncState controls the repair of differences between tables of a data centre.
type syncState struct {
	// changed is when this node's table last changed.
	changed time.Time
	// from is a peer whose table differs, to be pulled from at the next tick.
	from *domain.Member
	// last is when a table was last pulled.
	last time.Time
	// joinedAt is when this node first got another's table; zero before.
	joinedAt time.Time
}

// settled reports whether this node's table can be taken to be complete. The lock
// is held.
func (s *Service) settled(now time.Time) bool {
	return !s.sync.joinedAt.IsZero() && now.Sub(s.sync.joinedAt) >= settleTime
}

// compare looks whether a peer of the data centre has another table.
func (s *Service) compare(from domain.Member, digest uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if from.DataCentre != s.self.DataCentre || digest == s.table.digest() {
		return
	}
	if now.Sub(s.sync.changed) >= syncQuiet && now.Sub(s.sync.last) >= syncQuiet {
		s.sync.from, s.sync.last = &from, now
	}
}

// dueSync returns the peer to pull from now, nil for none.
func (s *Service) dueSync() *domain.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	from := s.sync.from
	s.sync.from = nil
	return from
}

// pullAll fetches all that a peer knows and this node does not, and reports
// whether the peer answered.
func (s *Service) pullAll(ctx context.Context, from domain.Member) bool {
	s.metrics.syncs.Inc()
	return s.pull(ctx, from, true, s.hashes(), false)
}

// pullDataCentre fetches a data centre's table from one of its nodes, if it has
// changed, and passes the changes on.
func (s *Service) pullDataCentre(ctx context.Context, from domain.Member) bool {
	s.metrics.exchanges.Inc()
	all := s.hashes()
	dc := from.DataCentre
	return s.pull(ctx, from, false, map[domain.DataCentre]uint64{dc: all[dc]}, true)
}

// hashes returns a copy of the table's hashes.
func (s *Service) hashes() map[domain.DataCentre]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	hashes := make(map[domain.DataCentre]uint64, len(s.table.hashes))
	for dc, hash := range s.table.hashes {
		hashes[dc] = hash
	}
	return hashes
}

func (s *Service) pull(ctx context.Context, from domain.Member, all bool, hashes map[domain.DataCentre]uint64, spread bool) bool {
	ctx, cancel := context.WithTimeout(ctx, s.options.ExchangeTimeout)
	defer cancel()
	s.mu.Lock()
	own := s.ownNews()
	s.mu.Unlock()
	request := pullRequest{Version: own.Version, Intent: own.Intent, Hashes: hashes, All: all}
	// Any life of the node will do: its table says which it is.
	from.Incarnation = 0
	reply, err := peer.Call[pullRequest, pullReply](ctx, s.transport, from, methodPull, request)
	if err != nil {
		return false
	}
	s.applyPull(reply, spread)
	return true
}

// applyPull takes over tables.
func (s *Service) applyPull(reply pullReply, spread bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := false
	for _, each := range reply.Tables {
		for _, r := range each.Records {
			changed = s.learn(r, spread) || changed
		}
		if reply.Settled {
			changed = s.giveUpAbsent(each, spread) || changed
		}
	}
	for _, c := range reply.Contacts {
		changed = s.learnContact(c, spread) || changed
	}
	if changed {
		s.publish()
	}
}

// giveUpAbsent ends lives that a settled node no longer knows: it has forgotten
// them after they were gone. A life of the own data centre that answers is kept. It
// reports whether there were any. The lock is held.
func (s *Service) giveUpAbsent(theirs dataCentreTable, spread bool) bool {
	present := make(map[domain.NodeID]bool, len(theirs.Records))
	for _, r := range theirs.Records {
		present[r.Node] = true
	}
	oldest := time.Now().Add(-absentAge)
	changed := false
	for _, r := range s.table.records(theirs.DataCentre) {
		answers := r.DataCentre == s.self.DataCentre && r.Health < healthUnreachable
		if present[r.Node] || answers || r.gone() || s.table.entries[r.Node].since.After(oldest) {
			continue
		}
		r.Health = healthGone
		changed = s.learn(r, spread) || changed
	}
	return changed
}
