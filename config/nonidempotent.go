package config

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
)

// NonIdempotentRule matches calls of a plain service that must not be retried.
type NonIdempotentRule struct {
	Method string
	// PathPrefix is empty to match all paths; otherwise it begins with "/".
	PathPrefix string
}

// NonIdempotentRules match the calls of one service that must not be retried.
type NonIdempotentRules []NonIdempotentRule

var knownMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// ParseNonIdempotentRules parses the once column of a service row.
func ParseNonIdempotentRules(text string) (NonIdempotentRules, error) {
	var rules NonIdempotentRules
	for part := range strings.SplitSeq(text, ",") {
		fields := strings.Fields(part)
		if len(fields) == 0 {
			continue
		}
		rule, err := parseNonIdempotentRule(fields)
		if err != nil {
			return nil, err
		}
		rules = append(rules, rule)
	}
	return rules, nil
}

func parseNonIdempotentRule(fields []string) (NonIdempotentRule, error) {
	rule := NonIdempotentRule{Method: fields[0]}
	if !slices.Contains(knownMethods, rule.Method) {
		return NonIdempotentRule{}, fmt.Errorf("%q is not an HTTP method such as POST", rule.Method)
	}
	if len(fields) == 1 {
		return rule, nil
	}
	rule.PathPrefix = fields[1]
	if len(fields) > 2 || !strings.HasPrefix(rule.PathPrefix, "/") {
		return NonIdempotentRule{}, fmt.Errorf("%q must be a method and a path beginning with /", strings.Join(fields, " "))
	}
	return rule, nil
}

// Match reports whether a call must not be retried.
func (r NonIdempotentRules) Match(method, path string) bool {
	for _, rule := range r {
		if rule.Method == method && strings.HasPrefix(path, rule.PathPrefix) {
			return true
		}
	}
	return false
}
