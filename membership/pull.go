package membership

import (
	"context"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

const (
	// syncQuietPeriod is how long a table must have been unchanged before a
	// difference from a peer's table counts as a missed change and not as one in
	// transit.
	syncQuietPeriod = 3 * time.Second
	// settlePeriod is how long after joining a node's table is taken to be
	// complete.
	settlePeriod = 10 * time.Second
	// minAbsentAge is the age from which an entry is marked gone if its own data
	// centre does not have it.
	minAbsentAge = time.Minute
)

// syncState schedules the repair of differences between the tables of a data
// centre.
type syncState struct {
	// lastChange is when this node's table last changed.
	lastChange time.Time
	// from is a peer whose table differs, to be pulled from at the next tick.
	from *domain.Member
	// lastPull is when a pull was last scheduled.
	lastPull time.Time
	// joinedAt is when the first pull from another node succeeded; zero before.
	joinedAt time.Time
}

// settled reports whether this node's table is taken to be complete. The caller
// holds the lock.
func (s *Service) settled(now time.Time) bool {
	return !s.sync.joinedAt.IsZero() && now.Sub(s.sync.joinedAt) >= settlePeriod
}

// compareDigest schedules a pull from a peer of the data centre whose table
// differs.
func (s *Service) compareDigest(from domain.Member, digest uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if from.DataCentre != s.self.DataCentre || digest == s.table.digest() {
		return
	}
	if now.Sub(s.sync.lastChange) >= syncQuietPeriod && now.Sub(s.sync.lastPull) >= syncQuietPeriod {
		s.sync.from, s.sync.lastPull = &from, now
	}
}

// dueSyncSource returns the peer to pull from now, nil for none.
func (s *Service) dueSyncSource() *domain.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	from := s.sync.from
	s.sync.from = nil
	return from
}

// pullAll fetches all tables in which a peer differs from this node, and reports
// whether the peer answered.
func (s *Service) pullAll(ctx context.Context, from domain.Member) bool {
	s.metrics.syncs.Inc()
	return s.pull(ctx, from, true, s.hashes(), false)
}

// pullDataCentre fetches a data centre's table from one of its nodes if it has
// changed, and forwards the changes.
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

func (s *Service) pull(ctx context.Context, from domain.Member, all bool, hashes map[domain.DataCentre]uint64, enqueue bool) bool {
	ctx, cancel := context.WithTimeout(ctx, s.options.ExchangeTimeout)
	defer cancel()
	s.mu.Lock()
	local := s.localPayload()
	s.mu.Unlock()
	request := pullRequest{Version: local.Version, Intent: local.Intent, Hashes: hashes, All: all}
	// Any incarnation of the node may answer: its table has the current one.
	from.Incarnation = 0
	reply, err := peer.Call[pullRequest, pullReply](ctx, s.transport, from, methodPull, request)
	if err != nil {
		return false
	}
	s.applyPull(reply, enqueue)
	return true
}

// applyPull merges the tables of a reply.
func (s *Service) applyPull(reply pullReply, enqueue bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := false
	for _, received := range reply.Tables {
		for _, r := range received.Records {
			changed = s.mergeRecord(r, enqueue) || changed
		}
		if reply.Settled {
			changed = s.markAbsentGone(received, enqueue) || changed
		}
	}
	for _, c := range reply.Reachability {
		changed = s.mergeReachability(c, enqueue) || changed
	}
	if changed {
		s.publish()
	}
}

// markAbsentGone marks members as gone that a settled node of their data centre
// no longer has, because it removed them after they were gone. A member of the
// local data centre that answers is kept. It reports whether the table has
// changed. The caller holds the lock.
func (s *Service) markAbsentGone(received dataCentreTable, enqueue bool) bool {
	present := make(map[domain.NodeID]bool, len(received.Records))
	for _, r := range received.Records {
		present[r.Node] = true
	}
	oldest := time.Now().Add(-minAbsentAge)
	changed := false
	for _, r := range s.table.recordsOf(received.DataCentre) {
		responsive := r.DataCentre == s.self.DataCentre && r.Health < healthUnreachable
		if present[r.Node] || responsive || r.gone() || s.table.entries[r.Node].since.After(oldest) {
			continue
		}
		r.Health = healthGone
		changed = s.mergeRecord(r, enqueue) || changed
	}
	return changed
}
