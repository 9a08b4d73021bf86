package sizing

import (
	"errors"
	"fmt"
	"go/token"
	"strings"
)

// Check returns all errors in the constants, joined: names that are duplicates or not
// identifiers, parameters without a source or unit, slopes measured at fewer than
// MinPoints sizes, and slopes whose stored line is not the least-squares fit of
// their points.
func (c *Constants) Check() error {
	names := make(map[string]bool)
	var errs []error
	for _, list := range [][]Parameter{c.Sizes, c.Limits, c.Settings, c.Assumed} {
		for _, p := range list {
			errs = append(errs, checkName(names, p.Name), checkParameter(p))
		}
	}
	for _, s := range c.Slopes {
		errs = append(errs, checkName(names, s.Name), checkSlope(s))
	}
	for _, m := range c.Missing {
		errs = append(errs, checkName(names, m.Name))
		if m.Reason == "" {
			errs = append(errs, fmt.Errorf("%w: missing slope %s has no reason", ErrConstants, m.Name))
		}
	}
	return errors.Join(errs...)
}

func checkName(seen map[string]bool, name string) error {
	if !token.IsIdentifier(name) || strings.HasSuffix(name, baseSuffix) {
		return fmt.Errorf("%w: %q is not a valid name", ErrConstants, name)
	}
	if seen[name] {
		return fmt.Errorf("%w: name %s is defined more than once", ErrConstants, name)
	}
	seen[name] = true
	return nil
}

func checkParameter(p Parameter) error {
	if p.Source == "" || p.Unit == "" {
		return fmt.Errorf("%w: parameter %s lacks a unit or a source", ErrConstants, p.Name)
	}
	return nil
}

func checkSlope(s Slope) error {
	fit, err := FitLine(s.Points)
	if err != nil {
		return fmt.Errorf("slope %s: %w", s.Name, err)
	}
	if fit != s.Fit {
		return fmt.Errorf("%w: slope %s is stored as %+v, but its points fit %+v", ErrConstants, s.Name, s.Fit, fit)
	}
	if s.Package == "" || s.Benchmark == "" || s.Metric == "" || s.Date == "" {
		return fmt.Errorf("%w: slope %s lacks its package, benchmark, metric or date", ErrConstants, s.Name)
	}
	return nil
}
