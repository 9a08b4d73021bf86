package config

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Change is an edit of one row. Before is nil if the row is added, After is nil if
// it is removed.
type Change struct {
	Kind   Kind   `json:"kind"`
	Key    string `json:"key"`
	Before *Row   `json:"before,omitempty"`
	After  *Row   `json:"after,omitempty"`
}

// errChange means that the rows of a change do not match its kind and key, or that
// it has no rows.
var errChange = errors.New("config: a change must name one row, by its kind and key, before or after")

// check returns errChange unless at least one row is set and the kind and key of
// each match the change.
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

// CellChange is the change of one cell.
type CellChange struct {
	Column string `json:"column"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// Cells returns the cells that differ, or all cells if the row is added or removed.
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

// cellsOrEmpty returns the row's cells, or the other row's columns with empty values
// if row is nil.
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

// rowID identifies a row across all kinds.
type rowID struct {
	kind Kind
	key  string
}

func rowIDOf(r Row) rowID { return rowID{kind: r.Kind(), key: r.Key()} }

// Diff returns the changes that turn before into after, sorted by kind and key.
func Diff(before, after Table) []Change {
	old := indexRows(before)
	var changes []Change
	for _, row := range after.Rows() {
		id := rowIDOf(row)
		oldRow, existed := old[id]
		delete(old, id)
		switch {
		case !existed:
			changes = append(changes, Change{Kind: id.kind, Key: id.key, After: &row})
		case !oldRow.equal(row):
			changes = append(changes, Change{Kind: id.kind, Key: id.key, Before: &oldRow, After: &row})
		}
	}
	for id, oldRow := range old {
		changes = append(changes, Change{Kind: id.kind, Key: id.key, Before: &oldRow})
	}
	slices.SortStableFunc(changes, compareChanges)
	return changes
}

func indexRows(t Table) map[rowID]Row {
	rows := t.Rows()
	index := make(map[rowID]Row, len(rows))
	for _, row := range rows {
		index[rowIDOf(row)] = row
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
