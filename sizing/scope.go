package sizing

import (
	"fmt"
	"go/constant"
	"go/token"
	"go/types"
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
	pkg     *types.Package
	assumed map[string]bool
	missing map[string]bool
}

// NewScope returns a scope with all constants of c, its derived figures included.
func NewScope(c *Constants, d Deployment) (*Scope, error) {
	s := &Scope{
		pkg:     types.NewPackage("capacity", "capacity"),
		assumed: make(map[string]bool),
		missing: make(map[string]bool),
	}
	for name, amount := range conversions {
		s.define(name, amount)
	}
	s.addFigures(c, d)
	for _, slope := range c.Slopes {
		s.define(slope.Name, slope.Slope)
		s.define(slope.Name+baseSuffix, slope.Intercept)
	}
	for _, m := range c.Missing {
		s.missing[m.Name] = true
		s.missing[m.Name+baseSuffix] = true
	}
	for _, derived := range Derivations() {
		if err := s.derive(derived); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *Scope) addFigures(c *Constants, d Deployment) {
	for _, list := range [][]Figure{c.Sizes, c.Limits, c.Settings, c.Assumed} {
		for _, f := range list {
			s.define(f.Name, f.At(d))
			s.assumed[f.Name] = f.AssumedToday && d != Design
		}
	}
	for _, f := range c.Assumed {
		s.assumed[f.Name] = true
	}
}

func (s *Scope) derive(d Derivation) error {
	v, err := s.Eval(d.Formula)
	if err != nil {
		return fmt.Errorf("%s: %w", d.Name, err)
	}
	if !v.Known() {
		s.missing[d.Name] = true
		return nil
	}
	s.define(d.Name, v.Amount)
	s.assumed[d.Name] = v.Assumed
	return nil
}

func (s *Scope) define(name string, amount float64) {
	value := constant.ToFloat(constant.MakeFloat64(amount))
	s.pkg.Scope().Insert(types.NewConst(token.NoPos, s.pkg, name, types.Typ[types.UntypedFloat], value))
}

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
	if !v.Known() {
		return v, nil
	}
	v.Amount, err = s.compute(f)
	return v, err
}

func (s *Scope) compute(f Formula) (float64, error) {
	tv, err := types.Eval(token.NewFileSet(), s.pkg, token.NoPos, string(f))
	if err != nil {
		return 0, fmt.Errorf("%w: %s: %w", ErrFormula, f, err)
	}
	if tv.Value == nil || constant.ToFloat(tv.Value).Kind() != constant.Float {
		return 0, fmt.Errorf("%w: %s is not a number", ErrFormula, f)
	}
	amount, _ := constant.Float64Val(constant.ToFloat(tv.Value))
	return amount, nil
}
