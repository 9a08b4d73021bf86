package membership

import (
	"context"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/pacing"
)

const (
	// joinInterval is the initial pause after a round in which no candidate
	// answered; it doubles up to maxJoinInterval.
	joinInterval    = 500 * time.Millisecond
	maxJoinInterval = 5 * time.Second
)

// joinLoop pulls the table of a running node. A node that finds none serves alone
// and keeps trying.
func (s *Service) joinLoop(ctx context.Context) {
	for pause := joinInterval; ; pause = min(2*pause, maxJoinInterval) {
		if s.join(ctx) {
			s.announceJoined()
			return
		}
		if !pacing.Sleep(ctx, pause/2+s.jitter(pause)) {
			return
		}
	}
}

// join pulls from the first candidate that answers.
func (s *Service) join(ctx context.Context) bool {
	for _, candidate := range s.candidates() {
		if s.pullAll(ctx, candidate) {
			return true
		}
		if ctx.Err() != nil {
			return false
		}
	}
	return false
}

// candidates returns the nodes to join through, those of the local data centre
// first.
func (s *Service) candidates() []domain.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	var local, remote []domain.Member
	for _, node := range s.table.order {
		e := s.table.entries[node]
		switch {
		case node == s.self.Node || e.gone():
		case e.DataCentre == s.self.DataCentre:
			local = append(local, e.member())
		default:
			remote = append(remote, e.member())
		}
	}
	shuffle(local, s.random)
	shuffle(remote, s.random)
	return append(local, remote...)
}

// announceJoined broadcasts this node's record after its first pull.
func (s *Service) announceJoined() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sync.joinedAt = time.Now()
	s.enqueueBroadcast(newRecord(s.self, s.local.version, s.local.intent))
	s.options.Logger.Info().Int("peers", len(s.table.order)-1).Msg("joined")
}
