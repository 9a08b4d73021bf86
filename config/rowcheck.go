package config

import (
	"fmt"
	"net/netip"
	"net/url"
	"strings"
	"unicode"
)

const (
	// maxNameBytes bounds names and identifiers.
	maxNameBytes = 200
	// maxCount bounds limits, weights and counts, so that sums of them fit.
	maxCount = 1_000_000_000
	// maxMillis bounds durations: a day.
	maxMillis = 24 * 60 * 60 * 1000
	// maxEndpointWeight is the weight of an endpoint given full work.
	maxEndpointWeight = 100
)

// rowCheck collects the problems of one row.
type rowCheck struct {
	problems *Problems
	kind     Kind
	row      int
	key      string
}

func (c rowCheck) add(column string, value any, reason string, args ...any) {
	*c.problems = append(*c.problems, Problem{
		Kind:   c.kind,
		Row:    c.row,
		Key:    c.key,
		Column: column,
		Value:  fmt.Sprint(value),
		Reason: fmt.Sprintf(reason, args...),
	})
}

func (c rowCheck) between(column string, value, low, high int) {
	if value < low || value > high {
		c.add(column, value, "must be between %d and %d", low, high)
	}
}

func (c rowCheck) name(column, value string) {
	switch {
	case value == "":
		c.add(column, value, "must not be empty")
	case len(value) > maxNameBytes:
		c.add(column, value, "must be at most %d bytes", maxNameBytes)
	case strings.ContainsFunc(value, notInName):
		c.add(column, value, "must not hold spaces, commas or control characters")
	}
}

// unique notes the value as seen and tells the row that had it before.
func (c rowCheck) unique(column, value string, seen map[string]int) {
	if value == "" {
		return
	}
	if first, ok := seen[value]; ok {
		c.add(column, value, "is already in row %d", first)
		return
	}
	seen[value] = c.row
}

func (c rowCheck) known(column, value, what string, rows map[string]int) {
	if _, ok := rows[value]; !ok {
		c.add(column, value, "there is no such %s", what)
	}
}

// address wants "http://IP:port" and nothing more.
func (c rowCheck) address(column, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" || u.User != nil || u.Path != "" || u.RawQuery != "" || u.Fragment != "" {
		c.add(column, value, "must be http://IP:port")
		return
	}
	at, err := netip.ParseAddrPort(u.Host)
	if err != nil || at.Port() == 0 {
		c.add(column, value, "must be http://IP:port")
	}
}

func notInName(r rune) bool {
	return unicode.IsSpace(r) || unicode.IsControl(r) || r == ',' || r == unicode.ReplacementChar
}
