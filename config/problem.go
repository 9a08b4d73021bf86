package config

import (
	"fmt"
	"strings"
)

// Kind names a kind of row; it is also the name of its CSV file and TOML array.
type Kind string

const (
	// KindTiers are the TierRow rows.
	KindTiers Kind = "tiers"
	// KindOrganisations are the OrganisationRow rows.
	KindOrganisations Kind = "organisations"
	// KindModels are the ModelRow rows.
	KindModels Kind = "models"
	// KindServices are the ServiceRow rows.
	KindServices Kind = "services"
	// KindEndpoints are the EndpointRow rows.
	KindEndpoints Kind = "endpoints"
)

// Kinds returns the kinds of rows, ordered so that references point to earlier
// kinds.
func Kinds() []Kind {
	return []Kind{KindTiers, KindOrganisations, KindModels, KindServices, KindEndpoints}
}

// Problem is a validation error of a table.
type Problem struct {
	Kind Kind `json:"kind"`
	// Row is the row's number within its kind in the input order, starting at 1; 0 if
	// the problem does not concern a single row.
	Row int `json:"row,omitempty"`
	// Key is the row's name or identifier.
	Key    string `json:"key,omitempty"`
	Column string `json:"column,omitempty"`
	// Value is the cell's value in the input.
	Value  string `json:"value,omitempty"`
	Reason string `json:"reason"`
}

// String returns "kind row N (key), column: "value": reason".
func (p Problem) String() string {
	location := string(p.Kind)
	if p.Row > 0 {
		location += fmt.Sprintf(" row %d", p.Row)
	}
	if p.Key != "" {
		location += fmt.Sprintf(" (%s)", p.Key)
	}
	if p.Column != "" {
		location += fmt.Sprintf(", %s: %q", p.Column, p.Value)
	}
	return location + ": " + p.Reason
}

// Problems is the error of a table that is rejected. It holds all validation
// errors.
type Problems []Problem

// Error lists the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p)+1)
	lines = append(lines, fmt.Sprintf("config: %d problem(s) in the table", len(p)))
	for _, problem := range p {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// Err returns p as an error, or nil if there are none.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}
