package config

import (
	"fmt"
	"net/netip"
	"net/url"
	"strings"
	"unicode"
)

const (
	// maxNameBytes is the maximum length of names and identifiers.
	maxNameBytes = 200
	// maxCount is the upper bound of limits, weights and counts, so that their sums
	// do not overflow.
	maxCount = 1_000_000_000
	// maxMillis is the upper bound of durations: one day.
	maxMillis = 24 * 60 * 60 * 1000
	// maxEndpointWeight is the weight of an endpoint that receives its full share of
	// the load.
	maxEndpointWeight = 100
)

// rowChecker collects the problems of one row.
type rowChecker struct {
	problems *Problems
	kind     Kind
	row      int
	key      string
}

func (c rowChecker) add(column string, value any, reason string, args ...any) {
	*c.problems = append(*c.problems, Problem{
		Kind:   c.kind,
		Row:    c.row,
		Key:    c.key,
		Column: column,
		Value:  fmt.Sprint(value),
		Reason: fmt.Sprintf(reason, args...),
	})
}

func (c rowChecker) inRange(column string, value, low, high int) {
	if value < low || value > high {
		c.add(column, value, "must be between %d and %d", low, high)
	}
}

func (c rowChecker) name(column, value string) {
	switch {
	case value == "":
		c.add(column, value, "must not be empty")
	case len(value) > maxNameBytes:
		c.add(column, value, "must be at most %d bytes", maxNameBytes)
	case strings.ContainsFunc(value, invalidInName):
		c.add(column, value, "must not contain spaces, commas or control characters")
	}
}

// unique records the value and reports a problem if an earlier row has it.
func (c rowChecker) unique(column, value string, seen map[string]int) {
	if value == "" {
		return
	}
	if first, ok := seen[value]; ok {
		c.add(column, value, "duplicate of row %d", first)
		return
	}
	seen[value] = c.row
}

func (c rowChecker) references(column, value, kind string, rows map[string]int) {
	if _, ok := rows[value]; !ok {
		c.add(column, value, "unknown %s", kind)
	}
}

// address requires the form "http://IP:port", without path or query.
func (c rowChecker) address(column, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" || u.User != nil || u.Path != "" || u.RawQuery != "" || u.Fragment != "" {
		c.add(column, value, "must be http://IP:port")
		return
	}
	addrPort, err := netip.ParseAddrPort(u.Host)
	if err != nil || addrPort.Port() == 0 {
		c.add(column, value, "must be http://IP:port")
	}
}

func invalidInName(r rune) bool {
	return unicode.IsSpace(r) || unicode.IsControl(r) || r == ',' || r == unicode.ReplacementChar
}
