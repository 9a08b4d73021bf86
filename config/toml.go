package config

import (
	"errors"
	"fmt"
	"io"

	"github.com/BurntSushi/toml"
)

// ErrFormat means that the data can't be decoded as a table.
var ErrFormat = errors.New("config: invalid table format")

// LoadTOML reads a table. Unknown keys are reported as Problems, so that a mistyped
// column is not silently ignored. The table is not validated.
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
	problem := Problem{Kind: Kind(key[0]), Reason: "unknown kind of row"}
	if len(key) > 1 {
		problem.Column = key[len(key)-1]
		problem.Reason = "unknown column"
	}
	return problem
}

// WriteTOML writes the table in canonical order.
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
