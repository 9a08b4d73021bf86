package ctl

import (
	"fmt"
	"strings"
)

// usageProblem is an invalid flag, argument or environment variable.
type usageProblem struct {
	Field, Value, Reason string
}

// usageProblems is the error that reports all problems of a command line at once.
type usageProblems []usageProblem

// Error lists the problems, one on each line.
func (p usageProblems) Error() string {
	var lines []string
	for _, problem := range p {
		lines = append(lines, fmt.Sprintf("%s: %q: %s", problem.Field, problem.Value, problem.Reason))
	}
	return strings.Join(lines, "\n")
}

func (p *usageProblems) add(field, value, reason string) {
	*p = append(*p, usageProblem{Field: field, Value: value, Reason: reason})
}

// err returns the problems as an error, or nil.
func (p usageProblems) err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}
