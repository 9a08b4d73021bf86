package document

import (
	"context"
	"fmt"

	"hawthornrill.example/hawthornrill/store/budget"
)

// History returns the versions that can still be read from the store, the
// current one first.
func (s *Service) History(ctx context.Context, name string) ([]Version, error) {
	r, err := s.replica(name)
	if err != nil {
		return nil, err
	}
	stored, _, err := r.storage.readHead(budget.WithPurpose(ctx, budget.PurposeEdit))
	if err != nil {
		return nil, fmt.Errorf("document: history of %s: %w", name, err)
	}
	if stored.Version.Generation == 0 {
		return nil, nil
	}
	return append([]Version{stored.Version}, stored.History...), nil
}

// Load returns a version and its value, from this node or from the store's current
// version and history.
func (s *Service) Load(ctx context.Context, name string, generation uint64) (Version, Value, error) {
	r, err := s.replica(name)
	if err != nil {
		return Version{}, Value{}, err
	}
	for _, h := range []*loadedVersion{r.latest.Load(), r.inForce.Load()} {
		if h != nil && h.version.Generation == generation {
			return h.version, h.content.value(), nil
		}
	}
	ctx = budget.WithPurpose(ctx, budget.PurposeEdit)
	stored, _, err := r.storage.readHead(ctx)
	if err != nil {
		return Version{}, Value{}, fmt.Errorf("document: load %s: %w", name, err)
	}
	version, ok := stored.version(generation)
	if !ok {
		return Version{}, Value{}, fmt.Errorf("%w: generation %d", ErrNoVersion, generation)
	}
	var c *content
	if version.Stamp == stored.Version.Stamp {
		c, err = r.storage.loadHead(ctx, stored, r.latest.Load())
	} else {
		c, err = r.storage.load(ctx, version, r.latest.Load())
	}
	if err != nil {
		return Version{}, Value{}, fmt.Errorf("document: load %s: %w", name, err)
	}
	return version, c.value(), nil
}
