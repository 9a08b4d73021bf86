package membership

import (
	"context"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/pacing"
)

const (
	// joinInterval is how long after a fruitless round of candidates the next begins,
	// at first; it doubles up to maxJoinInterval.
	joinInterval    = 500 * time.Millisecond
	maxJoinInterval = 5 * time.Second
)

// joinLoop gets the table of a node that is already there. A node that finds
// nobody serves alone and goes on looking.
func (s *Service) joinLoop(ctx context.Context) {
	for pause := joinInterval; ; pause = min(2*pause, maxJoinInterval) {
		if s.join(ctx) {
			s.joined()
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

// candidates returns the nodes to join by, those of the own data centre first.
func (s *Service) candidates() []domain.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	var near, far []domain.Member
	for _, node := range s.table.order {
		e := s.table.entries[node]
		switch {
		case node == s.self.Node || e.gone():
		case e.DataCentre == s.self.DataCentre:
			near = append(near, e.member())
		default:
			far = append(far, e.member())
		}
	}
	shuffle(near, s.random)
	shuffle(far, s.random)
	return append(near, far...)
}

// joined announces this node.
func (s *Service) joined() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sync.joinedAt = time.Now()
	s.spread(newRecord(s.self, s.own.version, s.own.intent))
	s.options.Logger.Info().Int("peers", len(s.table.order)-1).Msg("joined")
}
