package config

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Change is an edit of one row. Before is nil for a new row, After for one that
// is removed.
type Change struct {
	Kind   Kind   `json:"kind"`
	Key    string `json:"key"`
	Before *Row   `json:"before,omitempty"`
	After  *Row   `json:"after,omitempty"`
}

// errChange means that a change contradicts itself.
var errChange = errors.New("config: a change must name one row, by its kind and key, before or after")

// check returns errChange unless the rows are those that the change names.
func (c Change) check() error {
	if c.Before == nil && c.After == nil {
		return errChange
	}
	for _, row := range []*Row{c.Before, c.After} {
		if row != nil && (row.Kind() != c.Kind || row.Key() != c.Key) {
			return fmt.Errorf("%w: %s %q", errChange, c.Kind, c.Key)
		}
	}
	return nil
}

// CellChange is one cell that a change alters.
type CellChange struct {
	Column string `json:"column"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// Cells returns the cells that differ; for a new or removed row all of them.
func (c Change) Cells() []CellChange {
	before, after := cellsOrEmpty(c.Before, c.After), cellsOrEmpty(c.After, c.Before)
	var changes []CellChange
	for i := range before {
		if before[i].Value != after[i].Value || c.Before == nil || c.After == nil {
			changes = append(changes, CellChange{Column: before[i].Column, Before: before[i].Value, After: after[i].Value})
		}
	}
	return changes
}

// cellsOrEmpty returns the row's cells, or empty ones like those of the other.
func cellsOrEmpty(row, other *Row) []Cell {
	if row != nil {
		return row.Cells()
	}
	cells := slices.Clone(other.Cells())
	for i := range cells {
		cells[i].Value = ""
	}
	return cells
}

// rowName identifies a row over all kinds.
type rowName struct {
	kind Kind
	key  string
}

func nameOf(r Row) rowName { return rowName{kind: r.Kind(), key: r.Key()} }

// Diff returns the changes that turn before into after, by kind and key.
func Diff(before, after Table) []Change {
	old := indexRows(before)
	var changes []Change
	for _, row := range after.Rows() {
		name := nameOf(row)
		was, existed := old[name]
		delete(old, name)
		switch {
		case !existed:
			changes = append(changes, Change{Kind: name.kind, Key: name.key, After: &row})
		case !was.equal(row):
			changes = append(changes, Change{Kind: name.kind, Key: name.key, Before: &was, After: &row})
		}
	}
	for name, was := range old {
		changes = append(changes, Change{Kind: name.kind, Key: name.key, Before: &was})
	}
	slices.SortStableFunc(changes, compareChanges)
	return changes
}

func indexRows(t Table) map[rowName]Row {
	rows := t.Rows()
	index := make(map[rowName]Row, len(rows))
	for _, row := range rows {
		index[nameOf(row)] = row
	}
	return index
}

func compareChanges(a, b Change) int {
	kinds := Kinds()
	if d := slices.Index(kinds, a.Kind) - slices.Index(kinds, b.Kind); d != 0 {
		return d
	}
	return strings.Compare(a.Key, b.Key)
}
