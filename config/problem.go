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

// Kinds lists the kinds of rows in the order in which they refer to each other.
func Kinds() []Kind {
	return []Kind{KindTiers, KindOrganisations, KindModels, KindServices, KindEndpoints}
}

// Problem is one reason why a table can't be accepted.
type Problem struct {
	Kind Kind `json:"kind"`
	// Row counts from 1 within the kind, in the order of the table as given; 0 when
	// the problem isn't one row's.
	Row int `json:"row,omitempty"`
	// Key is the row's name or identifier.
	Key    string `json:"key,omitempty"`
	Column string `json:"column,omitempty"`
	// Value is the cell as given.
	Value  string `json:"value,omitempty"`
	Reason string `json:"reason"`
}

// String returns "kind row N (key), column: "value": reason".
func (p Problem) String() string {
	place := string(p.Kind)
	if p.Row > 0 {
		place += fmt.Sprintf(" row %d", p.Row)
	}
	if p.Key != "" {
		place += fmt.Sprintf(" (%s)", p.Key)
	}
	if p.Column != "" {
		place += fmt.Sprintf(", %s: %q", p.Column, p.Value)
	}
	return place + ": " + p.Reason
}

// Problems is the error of a table that can't be accepted: all its problems.
type Problems []Problem

// Error lists every problem on a line of its own.
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
