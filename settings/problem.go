package settings

import (
	"fmt"
	"strings"
)

// Problem is an invalid field.
type Problem struct {
	// Field is the TOML path of the field, such as "listen.callers".
	Field string
	// Value is the invalid value; empty for secrets, so that they are not printed.
	Value string
	// Reason describes the expected value.
	Reason string
}

// String returns `field = "value": reason`.
func (p Problem) String() string {
	return fmt.Sprintf("%s = %q: %s", p.Field, p.Value, p.Reason)
}

// Problems lists all invalid fields of a file. It is used as an error if not empty.
type Problems []Problem

// Error lists the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return "settings: " + strings.Join(lines, "\n")
}
