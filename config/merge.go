package config

import (
	"fmt"
	"slices"
	"strings"
)

// missingRow is the cell value in a Conflict if the row does not exist.
const missingRow = "(no such row)"

// Conflict is a cell of an edited row that was changed concurrently.
type Conflict struct {
	Kind   Kind   `json:"kind"`
	Key    string `json:"key"`
	Column string `json:"column"`
	// Base is the value on which the edit is based, Theirs the current value and
	// Yours the value that the edit sets.
	Base   string `json:"base"`
	Theirs string `json:"theirs"`
	Yours  string `json:"yours"`
}

// String returns the cell's position and its three values.
func (c Conflict) String() string {
	return fmt.Sprintf("%s %s, %s: was %q, theirs %q, yours %q", c.Kind, c.Key, c.Column, c.Base, c.Theirs, c.Yours)
}

// Conflicts is the error of an edit whose rows were changed concurrently.
type Conflicts []Conflict

// Error lists the conflicts, one per line.
func (c Conflicts) Error() string {
	lines := []string{fmt.Sprintf("config: %d cell(s) were changed by somebody else", len(c))}
	for _, conflict := range c {
		lines = append(lines, conflict.String())
	}
	return strings.Join(lines, "\n")
}

// Merge applies the changes to a table that may have changed since the edit was
// made. A row that still equals Before is replaced, and a row that already equals
// After is left unchanged. Any other row is a conflict, and the error is then
// Conflicts. The result is not validated.
func Merge(current Table, changes []Change) (Table, error) {
	rows := indexRows(current)
	var conflicts Conflicts
	replaced := make(map[rowID]*Row, len(changes))
	for _, change := range changes {
		if err := change.check(); err != nil {
			return Table{}, err
		}
		id := rowID{kind: change.Kind, key: change.Key}
		var theirs *Row
		if row, ok := rows[id]; ok {
			theirs = &row
		}
		if !sameRow(theirs, change.Before) && !sameRow(theirs, change.After) {
			conflicts = append(conflicts, findConflicts(change, theirs)...)
			continue
		}
		replaced[id] = change.After
	}
	if len(conflicts) > 0 {
		return Table{}, conflicts
	}
	return replaceRows(current, replaced), nil
}

func sameRow(a, b *Row) bool {
	if a == nil || b == nil {
		return a == nil && b == nil
	}
	return a.equal(*b)
}

// replaceRows replaces the rows with the given identifiers and adds those that do
// not exist; nil removes a row.
func replaceRows(current Table, replaced map[rowID]*Row) Table {
	var next Table
	for _, row := range current.Rows() {
		after, ok := replaced[rowIDOf(row)]
		switch {
		case !ok:
			next.add(row)
		case after != nil:
			next.add(*after)
		}
		delete(replaced, rowIDOf(row))
	}
	for _, row := range replaced {
		if row != nil {
			next.add(*row)
		}
	}
	next.Sort()
	return next
}

// findConflicts returns the cells that were changed concurrently since Before.
func findConflicts(change Change, theirs *Row) []Conflict {
	if theirs == nil || change.Before == nil || change.After == nil {
		return rowConflicts(change, theirs)
	}
	base, now, mine := change.Before.Cells(), theirs.Cells(), change.After.Cells()
	var conflicts []Conflict
	for i := range base {
		if base[i] != now[i] {
			conflicts = append(conflicts, Conflict{
				Kind: change.Kind, Key: change.Key, Column: base[i].Column,
				Base: base[i].Value, Theirs: now[i].Value, Yours: mine[i].Value,
			})
		}
	}
	return conflicts
}

// rowConflicts returns the conflicts if at least one side does not have the row: one
// for the first cell, which identifies the row, and one for each cell in which the
// existing sides differ.
func rowConflicts(change Change, theirs *Row) []Conflict {
	existing := slices.DeleteFunc([]*Row{change.Before, theirs, change.After}, func(r *Row) bool { return r == nil })
	var conflicts []Conflict
	for i, cell := range existing[0].Cells() {
		same := !slices.ContainsFunc(existing, func(r *Row) bool { return r.Cells()[i] != cell })
		if same && i > 0 {
			continue
		}
		conflicts = append(conflicts, Conflict{
			Kind: change.Kind, Key: change.Key, Column: cell.Column,
			Base: cellValue(change.Before, i), Theirs: cellValue(theirs, i), Yours: cellValue(change.After, i),
		})
	}
	return conflicts
}

func cellValue(row *Row, i int) string {
	if row == nil {
		return missingRow
	}
	return row.Cells()[i].Value
}
