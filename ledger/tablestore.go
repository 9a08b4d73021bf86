package ledger

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/store"
)

// ErrInvalidTable means that the stored table can't be decoded.
var ErrInvalidTable = errors.New("ledger: cannot decode stored table")

// TableKey is the store's key of a data centre's table.
func TableKey(dataCentre domain.DataCentre) string { return "ledger/" + string(dataCentre) }

// EncodeTable returns the stored form of a table.
func EncodeTable(t *Table) ([]byte, error) { return cbor.Marshal(t) }

// DecodeTable decodes the stored form, or returns ErrInvalidTable.
func DecodeTable(value []byte) (*Table, error) {
	var t Table
	if err := cbor.Unmarshal(value, &t); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidTable, err)
	}
	return &t, nil
}

// TableStore keeps a data centre's table in the platform's store. It implements
// TableEditor and is safe for concurrent use.
type TableStore struct {
	store      store.Store
	dataCentre domain.DataCentre
	keep       time.Duration

	mu sync.Mutex
	// latest is the latest table that this process has seen.
	latest *Table
	ages   DepartureAges
}

// NewTableStore returns a TableStore that keeps departures for the loss window of
// the options.
func NewTableStore(s store.Store, dataCentre domain.DataCentre, options Options) *TableStore {
	return &TableStore{
		store:      s,
		dataCentre: dataCentre,
		keep:       options.LossWindow(),
	}
}

// maxEditTries bounds the tries of one Edit.
const maxEditTries = 16

// Edit implements TableEditor. A lost acknowledgement is resolved by reading the table
// again: every change is idempotent, so that a second try finds it done. The error
// wraps that of the store.
func (s *TableStore) Edit(ctx context.Context, change TableChange) (*Table, error) {
	var last error
	for range maxEditTries {
		t, err := s.editOnce(ctx, change)
		if err == nil {
			return t, nil
		}
		last = err
		if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrUnknownOutcome) {
			break
		}
	}
	return nil, fmt.Errorf("ledger: edit table of %s: %w", s.dataCentre, last)
}

// editOnce reads, changes and writes the table once.
func (s *TableStore) editOnce(ctx context.Context, change TableChange) (*Table, error) {
	current, revision, err := s.Read(ctx)
	if err != nil {
		return nil, err
	}
	current = s.Observe(current)
	next, err := change(current)
	if err != nil || next == current {
		return next, err
	}
	if next, err = PruneDepartures(s.keep)(next); err != nil {
		return nil, err
	}
	value, err := EncodeTable(next)
	if err != nil {
		return nil, err
	}
	if _, err := s.store.CompareAndSwap(ctx, TableKey(s.dataCentre), revision, value, 0); err != nil {
		return nil, err
	}
	s.Observe(next)
	return next, nil
}

// Observe records a table received from elsewhere and returns the latest one known. A
// store restored from an old copy is brought forward by the next edit, which starts
// from the latest table.
func (s *TableStore) Observe(t *Table) *Table {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.latest == nil || t.Revision >= s.latest.Revision {
		s.latest = t
	}
	return s.latest
}

// Read returns the stored table, empty if there is none, and its store revision.
func (s *TableStore) Read(ctx context.Context) (*Table, store.Revision, error) {
	entry, err := s.store.Get(ctx, TableKey(s.dataCentre))
	if errors.Is(err, store.ErrNotFound) {
		return &Table{DataCentre: s.dataCentre}, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	t, err := DecodeTable(entry.Value)
	if err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ages.Apply(t, time.Now())
	return t, entry.Revision, nil
}
