package ctl

import (
	"fmt"
	"strings"
)

// fieldProblem is a wrong flag, argument or environment variable.
type fieldProblem struct {
	Field, Value, Reason string
}

// fieldProblems is the error of a command line with all that is wrong in it.
type fieldProblems []fieldProblem

// Error lists every problem on a line of its own.
func (p fieldProblems) Error() string {
	var lines []string
	for _, problem := range p {
		lines = append(lines, fmt.Sprintf("%s: %q: %s", problem.Field, problem.Value, problem.Reason))
	}
	return strings.Join(lines, "\n")
}

func (p *fieldProblems) add(field, value, reason string) {
	*p = append(*p, fieldProblem{Field: field, Value: value, Reason: reason})
}

// err returns the problems as an error, or nil.
func (p fieldProblems) err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}
