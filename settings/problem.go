package settings

import (
	"fmt"
	"strings"
)

// Problem is one field that is wrong.
type Problem struct {
	// Field is the TOML path, such as "listen.callers".
	Field string
	// Value is what was found, empty for secrets.
	Value string
	// Reason says what is expected.
	Reason string
}

// String returns `field = "value": reason`.
func (p Problem) String() string {
	return fmt.Sprintf("%s = %q: %s", p.Field, p.Value, p.Reason)
}

// Problems are all that is wrong with a file. It is an error when not empty.
type Problems []Problem

// Error lists the problems, one a line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return "settings: " + strings.Join(lines, "\n")
}
