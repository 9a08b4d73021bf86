package sizing

import (
	"fmt"
	"math"
)

// conversions are the unit conversion factors that formulas may use.
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

// NewScope returns a scope with all constants of c at a deployment's sizes, and the
// values derived from them.
func NewScope(c *Constants, d Deployment) (*Scope, error) {
	assumed := func(p Parameter) bool { return p.AssumedToday && d != Design }
	return newScope(c, func(p Parameter) float64 { return p.ValueFor(d) }, assumed)
}

// NewInterpolatedScope returns a scope at a fraction of the growth from the first
// user's current deployment (0) to the design size (1).
func NewInterpolatedScope(c *Constants, fraction float64) (*Scope, error) {
	assumed := func(p Parameter) bool { return p.AssumedToday && fraction != 1 }
	return newScope(c, func(p Parameter) float64 { return p.Interpolate(fraction) }, assumed)
}

func newScope(c *Constants, value func(Parameter) float64, assumed func(Parameter) bool) (*Scope, error) {
	s := &Scope{
		values:  make(map[string]float64),
		assumed: make(map[string]bool),
		missing: make(map[string]bool),
	}
	for name, amount := range conversions {
		s.define(name, amount)
	}
	s.addParameters(c, value, assumed)
	s.addSlopes(c)
	for _, derived := range Derivations() {
		if err := s.derive(derived); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *Scope) addParameters(c *Constants, value func(Parameter) float64, assumed func(Parameter) bool) {
	for _, list := range [][]Parameter{c.Sizes, c.Limits, c.Settings, c.Assumed} {
		for _, p := range list {
			s.define(p.Name, value(p))
			s.assumed[p.Name] = assumed(p)
		}
	}
	for _, p := range c.Assumed {
		s.assumed[p.Name] = true
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

// Eval returns the value of the formula, or ErrFormula if the formula uses an undefined
// name or can't be computed. A slope that has not been measured is not an error: the
// value lists it in Missing.
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
