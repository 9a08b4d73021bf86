package config

import (
	"fmt"
	"slices"
	"strings"
)

// removed stands in a Conflict for a row that is not there.
const removed = "(no such row)"

// Conflict is a cell that somebody else has changed in a row that is edited.
type Conflict struct {
	Kind   Kind   `json:"kind"`
	Key    string `json:"key"`
	Column string `json:"column"`
	// Base is the cell as the editor saw it, Theirs as it is now, Yours as the
	// editor wants it.
	Base   string `json:"base"`
	Theirs string `json:"theirs"`
	Yours  string `json:"yours"`
}

// String names the cell and its values.
func (c Conflict) String() string {
	return fmt.Sprintf("%s %s, %s: was %q, theirs %q, yours %q", c.Kind, c.Key, c.Column, c.Base, c.Theirs, c.Yours)
}

// Conflicts is the error of an edit whose rows others have changed.
type Conflicts []Conflict

// Error lists every conflict on a line of its own.
func (c Conflicts) Error() string {
	lines := []string{fmt.Sprintf("config: %d cell(s) were changed by somebody else", len(c))}
	for _, conflict := range c {
		lines = append(lines, conflict.String())
	}
	return strings.Join(lines, "\n")
}

// Merge makes the changes to a table that may have changed since they were
// thought out. Rows that nobody else has touched are replaced; a row that
// already is as wanted is left; any other row is a conflict, and the error is
// Conflicts. The result is not validated.
func Merge(current Table, changes []Change) (Table, error) {
	rows := indexRows(current)
	var conflicts Conflicts
	replaced := make(map[rowName]*Row, len(changes))
	for _, change := range changes {
		if err := change.check(); err != nil {
			return Table{}, err
		}
		name := rowName{kind: change.Kind, key: change.Key}
		var theirs *Row
		if row, ok := rows[name]; ok {
			theirs = &row
		}
		if !sameRow(theirs, change.Before) && !sameRow(theirs, change.After) {
			conflicts = append(conflicts, conflictsOf(change, theirs)...)
			continue
		}
		replaced[name] = change.After
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

// replaceRows puts each named row in place of its former self; nil removes it.
func replaceRows(current Table, replaced map[rowName]*Row) Table {
	var next Table
	for _, row := range current.Rows() {
		after, ok := replaced[nameOf(row)]
		switch {
		case !ok:
			next.add(row)
		case after != nil:
			next.add(*after)
		}
		delete(replaced, nameOf(row))
	}
	for _, row := range replaced {
		if row != nil {
			next.add(*row)
		}
	}
	next.Sort()
	return next
}

// conflictsOf names the cells that others have changed since Before.
func conflictsOf(change Change, theirs *Row) []Conflict {
	if theirs == nil || change.Before == nil || change.After == nil {
		return rowConflict(change, theirs)
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

// rowConflict tells a conflict where one side has no such row: by the cells in
// which the sides that have one differ, or by the key.
func rowConflict(change Change, theirs *Row) []Conflict {
	some := slices.DeleteFunc([]*Row{change.Before, theirs, change.After}, func(r *Row) bool { return r == nil })
	var conflicts []Conflict
	for i, cell := range some[0].Cells() {
		same := !slices.ContainsFunc(some, func(r *Row) bool { return r.Cells()[i] != cell })
		if same && i > 0 {
			continue
		}
		conflicts = append(conflicts, Conflict{
			Kind: change.Kind, Key: change.Key, Column: cell.Column,
			Base: cellOr(change.Before, i), Theirs: cellOr(theirs, i), Yours: cellOr(change.After, i),
		})
	}
	return conflicts
}

func cellOr(row *Row, i int) string {
	if row == nil {
		return removed
	}
	return row.Cells()[i].Value
}
