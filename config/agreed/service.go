// Package agreed stores the operators' table as a replicated document: edits are
// accepted in the platform's store and then applied on every node. The guarantees are
// those of package document. In addition, every accepted table is valid, and
// concurrent edits are merged row by row.
package agreed

import (
	"context"
	"errors"
	"fmt"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/document"
)

const (
	// DocumentName is the name of the replicated document.
	DocumentName = "config"
	// DefaultKeepHistory is the default number of earlier tables kept for rollback.
	DefaultKeepHistory = 32
)

// ErrGenerationMismatch means that the current generation of the table is not the
// one that the operator expected. It is returned wrapped in document.ErrNotAccepted.
var ErrGenerationMismatch = errors.New("agreed: table generation is not the expected one")

// Options configure a Service.
type Options struct {
	// KeepHistory is the number of earlier tables that the store keeps. The default is
	// DefaultKeepHistory (32).
	KeepHistory int
	// OnApply, if not nil, is called with each snapshot that comes into force.
	OnApply func(s *config.Snapshot)
}

// Service is one node's replica of the table. It implements config.View.
type Service struct {
	documents *document.Service
	options   Options
	view      config.StaticView
}

var _ config.View = (*Service)(nil)

// New registers the table as a document of the node.
func New(documents *document.Service, options Options) (*Service, error) {
	if options.KeepHistory == 0 {
		options.KeepHistory = DefaultKeepHistory
	}
	s := &Service{documents: documents, options: options}
	err := documents.Register(document.Spec{
		Name:        DocumentName,
		Apply:       s.apply,
		KeepHistory: options.KeepHistory,
	})
	return s, err
}

// Current returns the snapshot in force, or nil.
func (s *Service) Current() *config.Snapshot { return s.view.Current() }

// apply decodes and compiles a version and makes it the current snapshot.
func (s *Service) apply(version document.Version, value []byte) error {
	table, err := config.Decode(value)
	if err != nil {
		return err
	}
	snapshot, err := config.Compile(table, config.Revision(version.Generation))
	if err != nil {
		return err
	}
	s.view.Set(snapshot)
	if s.options.OnApply != nil {
		s.options.OnApply(snapshot)
	}
	return nil
}

// Edit applies the changes to the table. The error is document.ErrNotAccepted, which
// wraps config.Conflicts or config.Problems if those are the reason, or
// document.ErrUnknownOutcome, which ResolveEdit resolves.
func (s *Service) Edit(ctx context.Context, edit document.Edit, changes []config.Change) (document.Version, error) {
	return s.documents.Update(ctx, DocumentName, edit, func(_ document.Version, value []byte) (document.Value, error) {
		current, err := config.Decode(value)
		if err != nil {
			return document.Value{}, err
		}
		next, err := config.ApplyChanges(current, changes)
		if err != nil {
			return document.Value{}, err
		}
		return encode(next)
	})
}

// Rollback writes the table of an earlier generation as a new generation. It fails
// with ErrGenerationMismatch if the current generation is not the expected one; zero
// accepts any. Organisations keep their current home data centres if these still have
// endpoints.
func (s *Service) Rollback(ctx context.Context, edit document.Edit, generation, expected uint64) (document.Version, error) {
	old, _, err := s.Table(ctx, generation)
	if err != nil {
		return document.Version{}, fmt.Errorf("%w: %w", document.ErrNotAccepted, err)
	}
	return s.documents.Update(ctx, DocumentName, edit, func(current document.Version, value []byte) (document.Value, error) {
		if expected != 0 && current.Generation != expected {
			return document.Value{}, fmt.Errorf("%w: current generation is %d", ErrGenerationMismatch, current.Generation)
		}
		now, err := config.Decode(value)
		if err != nil {
			return document.Value{}, err
		}
		config.KeepHomes(now, &old)
		config.AssignHomes(now, &old)
		if err := config.Validate(&old).Err(); err != nil {
			return document.Value{}, err
		}
		return encode(old)
	})
}

// encode encodes a table as a document value.
func encode(table config.Table) (document.Value, error) {
	parts, err := config.Encode(table)
	return document.Value{Parts: parts}, err
}

// ResolveEdit determines the outcome of an edit that returned
// document.ErrUnknownOutcome; see document.Service.ResolveEdit.
func (s *Service) ResolveEdit(ctx context.Context, id document.EditID, base uint64) (document.Version, error) {
	return s.documents.ResolveEdit(ctx, DocumentName, id, base)
}

// History returns the versions that are still stored, the current one first.
func (s *Service) History(ctx context.Context) ([]document.Version, error) {
	return s.documents.History(ctx, DocumentName)
}

// Table returns the table of a generation. Zero selects the one in force on this
// node, which is empty before the first edit.
func (s *Service) Table(ctx context.Context, generation uint64) (config.Table, document.Version, error) {
	if generation == 0 {
		version, value, _ := s.documents.Current(DocumentName)
		table, err := config.Decode(value.Bytes())
		return table, version, err
	}
	version, value, err := s.documents.Load(ctx, DocumentName, generation)
	if err != nil {
		return config.Table{}, document.Version{}, err
	}
	table, err := config.Decode(value.Bytes())
	return table, version, err
}

// Status queries the document status of all nodes.
func (s *Service) Status(ctx context.Context) []document.NodeStatus { return s.documents.Status(ctx) }
