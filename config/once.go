package config

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
)

// NonIdempotentRule names calls of a plain service that may not be repeated.
type NonIdempotentRule struct {
	Method string
	// PathPrefix is empty for all paths, else it begins with "/".
	PathPrefix string
}

// NonIdempotentRules are the calls of one service that may not be repeated.
type NonIdempotentRules []NonIdempotentRule

var knownMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// ParseNonIdempotentRules reads the once column of a service row.
func ParseNonIdempotentRules(text string) (NonIdempotentRules, error) {
	var rules NonIdempotentRules
	for part := range strings.SplitSeq(text, ",") {
		fields := strings.Fields(part)
		if len(fields) == 0 {
			continue
		}
		rule, err := parseOnceRule(fields)
		if err != nil {
			return nil, err
		}
		rules = append(rules, rule)
	}
	return rules, nil
}

func parseOnceRule(fields []string) (NonIdempotentRule, error) {
	rule := NonIdempotentRule{Method: fields[0]}
	if !slices.Contains(knownMethods, rule.Method) {
		return NonIdempotentRule{}, fmt.Errorf("%q is not a method such as POST", rule.Method)
	}
	if len(fields) == 1 {
		return rule, nil
	}
	rule.PathPrefix = fields[1]
	if len(fields) > 2 || !strings.HasPrefix(rule.PathPrefix, "/") {
		return NonIdempotentRule{}, fmt.Errorf("%q must be a method and a path that begins with /", strings.Join(fields, " "))
	}
	return rule, nil
}

// Match reports whether a call may not be repeated.
func (r NonIdempotentRules) Match(method, path string) bool {
	for _, rule := range r {
		if rule.Method == method && strings.HasPrefix(path, rule.PathPrefix) {
			return true
		}
	}
	return false
}
