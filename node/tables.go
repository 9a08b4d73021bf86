package node

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"hawthornrill.example/hawthornrill/document"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/ledger"
)

// tables distributes the ledger tables of all data centres as documents, one
// each. It implements ledger.Tables for all, and ledger.TableEditor for this
// node's own data centre.
type tables struct {
	documents *document.Service
	self      domain.Member
	keep      time.Duration

	mu          sync.Mutex
	known       map[domain.DataCentre]*atomic.Pointer[ledger.Table]
	subscribers map[int]func(domain.DataCentre)
	nextID      int
	// ages counts the departures' ages on between edits.
	ages ledger.AgeCounter
}

var (
	_ ledger.Tables      = (*tables)(nil)
	_ ledger.TableEditor = (*tables)(nil)
)

// newTables returns the tables; keep is for how long departures matter.
func newTables(documents *document.Service, self domain.Member, keep time.Duration) *tables {
	return &tables{
		documents:   documents,
		self:        self,
		keep:        keep,
		known:       make(map[domain.DataCentre]*atomic.Pointer[ledger.Table]),
		subscribers: make(map[int]func(domain.DataCentre)),
	}
}

// follow begins to keep the data centre's table up to date, once.
func (t *tables) follow(dc domain.DataCentre) error {
	t.mu.Lock()
	if _, ok := t.known[dc]; ok {
		t.mu.Unlock()
		return nil
	}
	t.known[dc] = new(atomic.Pointer[ledger.Table])
	t.mu.Unlock()
	return t.documents.Register(document.Spec{
		Name:     ledger.TableKey(dc),
		Apply:    func(_ document.Version, value []byte) error { return t.apply(dc, value) },
		WatchIn:  []domain.DataCentre{dc},
		Optional: true,
	})
}

func (t *tables) apply(dc domain.DataCentre, value []byte) error {
	table, err := ledger.DecodeTable(value)
	if err != nil {
		return err
	}
	t.mu.Lock()
	t.ages.Count(table, time.Now())
	t.known[dc].Store(table)
	notify := make([]func(domain.DataCentre), 0, len(t.subscribers))
	for _, f := range t.subscribers {
		notify = append(notify, f)
	}
	t.mu.Unlock()
	for _, f := range notify {
		f(dc)
	}
	return nil
}

// Table implements ledger.Tables.
func (t *tables) Table(dc domain.DataCentre) *ledger.Table {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.known[dc]
	if !ok {
		return nil
	}
	return p.Load()
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

// errUnchanged ends an edit that has nothing to change, also where there is no
// table yet.
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
		if result, err = ledger.Forget(t.keep)(result); err != nil {
			return document.Value{}, err
		}
		encoded, err := ledger.EncodeTable(result)
		return document.Single(encoded), err
	})
	if errors.Is(err, errUnchanged) {
		return result, nil
	}
	if err != nil {
		return nil, fmt.Errorf("node: edit the ledger table of %s: %w", t.self.DataCentre, err)
	}
	return result, nil
}

// decode reads a stored table, an empty one if there is none yet, and counts the
// departures' ages on.
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
	t.ages.Count(table, time.Now())
	return table, nil
}
