package sizing

import (
	"errors"
	"fmt"
	"go/token"
	"strings"
)

// Check returns every fault of the constants: names that are not unique or no
// identifiers, figures without source or unit, slopes that rest on fewer than
// MinPoints sizes or whose line is not the one through their points.
func (c *Constants) Check() error {
	names := make(map[string]bool)
	var faults []error
	for _, list := range [][]Parameter{c.Sizes, c.Limits, c.Settings, c.Assumed} {
		for _, f := range list {
			faults = append(faults, checkName(names, f.Name), checkFigure(f))
		}
	}
	for _, s := range c.Slopes {
		faults = append(faults, checkName(names, s.Name), checkSlope(s))
	}
	for _, m := range c.Missing {
		faults = append(faults, checkName(names, m.Name))
		if m.Reason == "" {
			faults = append(faults, fmt.Errorf("%w: missing slope %s has no reason", ErrConstants, m.Name))
		}
	}
	return errors.Join(faults...)
}

func checkName(seen map[string]bool, name string) error {
	if !token.IsIdentifier(name) || strings.HasSuffix(name, baseSuffix) {
		return fmt.Errorf("%w: %q can't be a name", ErrConstants, name)
	}
	if seen[name] {
		return fmt.Errorf("%w: %s stands twice", ErrConstants, name)
	}
	seen[name] = true
	return nil
}

func checkFigure(f Parameter) error {
	if f.Source == "" || f.Unit == "" {
		return fmt.Errorf("%w: %s has no unit or no source", ErrConstants, f.Name)
	}
	return nil
}

func checkSlope(s Slope) error {
	fit, err := FitLine(s.Points)
	if err != nil {
		return fmt.Errorf("slope %s: %w", s.Name, err)
	}
	if fit != s.Fit {
		return fmt.Errorf("%w: slope %s is %+v, its points give %+v", ErrConstants, s.Name, s.Fit, fit)
	}
	if s.Package == "" || s.Benchmark == "" || s.Metric == "" || s.Date == "" {
		return fmt.Errorf("%w: slope %s does not say how it was measured", ErrConstants, s.Name)
	}
	return nil
}
