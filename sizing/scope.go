package sizing

import (
	"fmt"
	"math"
)

// conversions between units may be named in formulas.
var conversions = map[string]float64{
	"seconds_per_day":  86_400,
	"seconds_per_hour": 3_600,
	"ns_per_second":    1e9,
}

// Scope evaluates formulas at the sizes of one deployment. It is not safe for
// concurrent use.
type Scope struct {
	values  map[string]float64
	assumed map[string]bool
	missing map[string]bool
}

// NewScope returns a scope with all constants of c at a deployment's sizes, its
// derived figures included.
func NewScope(c *Constants, d Deployment) (*Scope, error) {
	assumed := func(f Parameter) bool { return f.AssumedToday && d != Design }
	return newScope(c, func(f Parameter) float64 { return f.ValueFor(d) }, assumed)
}

// NewInterpolatedScope returns a scope at a part of the way from the first user's
// deployment of today to the design size.
func NewInterpolatedScope(c *Constants, part float64) (*Scope, error) {
	assumed := func(f Parameter) bool { return f.AssumedToday && part != 1 }
	return newScope(c, func(f Parameter) float64 { return f.Interpolate(part) }, assumed)
}

func newScope(c *Constants, at func(Parameter) float64, assumed func(Parameter) bool) (*Scope, error) {
	s := &Scope{
		values:  make(map[string]float64),
		assumed: make(map[string]bool),
		missing: make(map[string]bool),
	}
	for name, amount := range conversions {
		s.define(name, amount)
	}
	s.addFigures(c, at, assumed)
	s.addSlopes(c)
	for _, derived := range Derivations() {
		if err := s.derive(derived); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *Scope) addFigures(c *Constants, at func(Parameter) float64, assumed func(Parameter) bool) {
	for _, list := range [][]Parameter{c.Sizes, c.Limits, c.Settings, c.Assumed} {
		for _, f := range list {
			s.define(f.Name, at(f))
			s.assumed[f.Name] = assumed(f)
		}
	}
	for _, f := range c.Assumed {
		s.assumed[f.Name] = true
	}
}

func (s *Scope) addSlopes(c *Constants) {
	for _, slope := range c.Slopes {
		s.define(slope.Name, slope.Slope)
		s.define(slope.Name+baseSuffix, slope.Intercept)
	}
	for _, m := range c.Missing {
		s.missing[m.Name] = true
		s.missing[m.Name+baseSuffix] = true
	}
}

func (s *Scope) derive(d Derivation) error {
	v, err := s.Eval(d.Formula)
	if err != nil {
		return fmt.Errorf("%s: %w", d.Name, err)
	}
	if !v.Complete() {
		s.missing[d.Name] = true
		return nil
	}
	s.define(d.Name, v.Amount)
	s.assumed[d.Name] = v.Assumed
	return nil
}

func (s *Scope) define(name string, amount float64) { s.values[name] = amount }

// Eval returns what the formula comes to, or ErrFormula if it names something
// unknown or can't be computed. A formula with a slope that was not measured is
// no error: its value says what is missing.
func (s *Scope) Eval(f Formula) (Value, error) {
	names, err := f.Names()
	if err != nil {
		return Value{}, err
	}
	var v Value
	for _, name := range names {
		v.Assumed = v.Assumed || s.assumed[name]
		if s.missing[name] {
			v.Missing = append(v.Missing, name)
		}
	}
	if !v.Complete() {
		return v, nil
	}
	v.Amount, err = s.compute(f)
	return v, err
}

func (s *Scope) compute(f Formula) (float64, error) {
	expr, err := f.parse()
	if err != nil {
		return 0, err
	}
	amount, err := evaluator{s.values}.expr(expr)
	if err != nil {
		return 0, fmt.Errorf("%s: %w", f, err)
	}
	if math.IsNaN(amount) || math.IsInf(amount, 0) {
		return 0, fmt.Errorf("%w: %s is not finite", ErrFormula, f)
	}
	return amount, nil
}
