package document

import (
	"context"

	"hawthornrill.example/hawthornrill/domain"
)

// Refresh fetches a document from a peer now, if the peer holds a later version
// than this node. A node that needs a document of another data centre does not
// have to wait for the next anti-entropy.
func (s *Service) Refresh(ctx context.Context, name string, from domain.Member) error {
	r, err := s.replica(name)
	if err != nil {
		return err
	}
	later, err := r.pull(ctx, from, false)
	if err != nil || later == nil {
		return err
	}
	r.adopt(later)
	return nil
}
