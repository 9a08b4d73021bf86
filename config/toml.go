package config

import (
	"errors"
	"fmt"
	"io"

	"github.com/BurntSushi/toml"
)

// ErrFormat means that a file can't be read as a table at all.
var ErrFormat = errors.New("config: not a table")

// LoadTOML reads a table. A key that no column has is a problem, so that a
// mistyped column is not silently left out. The table is not validated.
func LoadTOML(r io.Reader) (Table, error) {
	var table Table
	meta, err := toml.NewDecoder(r).Decode(&table)
	if err != nil {
		return Table{}, fmt.Errorf("%w: %w", ErrFormat, err)
	}
	var problems Problems
	for _, key := range meta.Undecoded() {
		problems = append(problems, undecodedProblem(key))
	}
	return table, problems.Err()
}

func undecodedProblem(key toml.Key) Problem {
	problem := Problem{Kind: Kind(key[0]), Reason: "there is no such kind of row"}
	if len(key) > 1 {
		problem.Column = key[len(key)-1]
		problem.Reason = "there is no such column"
	}
	return problem
}

// WriteTOML writes the table in its canonical order.
func WriteTOML(w io.Writer, table Table) error {
	sorted := table.Clone()
	sorted.Sort()
	encoder := toml.NewEncoder(w)
	encoder.Indent = ""
	if err := encoder.Encode(sorted); err != nil {
		return fmt.Errorf("config: write TOML: %w", err)
	}
	return nil
}
