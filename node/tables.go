package node

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"hawthornrill.example/hawthornrill/document"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/ledger"
)

// tables distributes the ledger table of this node's data centre as a document. It
// implements ledger.Tables and ledger.TableEditor. Package ledger fetches the
// tables of other data centres when it needs them.
type tables struct {
	documents          *document.Service
	self               domain.Member
	departureRetention time.Duration
	current            atomic.Pointer[ledger.Table]

	mu          sync.Mutex
	subscribers map[int]func(domain.DataCentre)
	nextID      int
	// ages advances the ages of departures between edits.
	ages ledger.DepartureAges
}

var (
	_ ledger.Tables      = (*tables)(nil)
	_ ledger.TableEditor = (*tables)(nil)
)

// newTables registers the table's document. Departures are kept in the table for
// departureRetention.
func newTables(documents *document.Service, self domain.Member, departureRetention time.Duration) (*tables, error) {
	t := &tables{
		documents:          documents,
		self:               self,
		departureRetention: departureRetention,
		subscribers:        make(map[int]func(domain.DataCentre)),
	}
	err := documents.Register(document.Spec{
		Name:     ledger.TableKey(self.DataCentre),
		Apply:    t.apply,
		Optional: true,
	})
	return t, err
}

// apply makes a stored table the current one and notifies the subscribers.
func (t *tables) apply(_ document.Version, value []byte) error {
	table, err := ledger.DecodeTable(value)
	if err != nil {
		return err
	}
	for _, notify := range t.setCurrent(table) {
		notify(t.self.DataCentre)
	}
	return nil
}

// setCurrent sets the current table and returns the subscribers to notify.
func (t *tables) setCurrent(table *ledger.Table) []func(domain.DataCentre) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ages.Apply(table, time.Now())
	t.current.Store(table)
	return slices.Collect(maps.Values(t.subscribers))
}

// Table implements ledger.Tables.
func (t *tables) Table(dc domain.DataCentre) *ledger.Table {
	if dc != t.self.DataCentre {
		return nil
	}
	return t.current.Load()
}

// Subscribe implements ledger.Tables.
func (t *tables) Subscribe(notify func(domain.DataCentre)) (cancel func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := t.nextID
	t.nextID++
	t.subscribers[id] = notify
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.subscribers, id)
	}
}

// errUnchanged aborts an edit that changes nothing, including one made before the
// table exists.
var errUnchanged = errors.New("node: ledger table unchanged")

// Edit implements ledger.TableEditor.
func (t *tables) Edit(ctx context.Context, change ledger.TableChange) (*ledger.Table, error) {
	var result *ledger.Table
	edit := document.Edit{ID: document.NewEditID(), Author: string(t.self.Node)}
	name := ledger.TableKey(t.self.DataCentre)
	_, err := t.documents.Update(ctx, name, edit, func(_ document.Version, value []byte) (document.Value, error) {
		current, err := t.decode(value)
		if err != nil {
			return document.Value{}, err
		}
		result, err = change(current)
		if err != nil {
			return document.Value{}, err
		}
		if result == current {
			return document.Value{}, errUnchanged
		}
		if result, err = ledger.PruneDepartures(t.departureRetention)(result); err != nil {
			return document.Value{}, err
		}
		encoded, err := ledger.EncodeTable(result)
		return document.NewValue(encoded), err
	})
	if errors.Is(err, errUnchanged) {
		return result, nil
	}
	if err != nil {
		return nil, fmt.Errorf("node: edit the ledger table of %s: %w", t.self.DataCentre, err)
	}
	return result, nil
}

// decode decodes a stored table and advances the ages of its departures. It returns
// an empty table if none is stored yet.
func (t *tables) decode(value []byte) (*ledger.Table, error) {
	if len(value) == 0 {
		return &ledger.Table{DataCentre: t.self.DataCentre}, nil
	}
	table, err := ledger.DecodeTable(value)
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ages.Apply(table, time.Now())
	return table, nil
}
