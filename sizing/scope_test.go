package sizing

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestScopeEval(t *testing.T) {
	seven := 7.0
	c, err := minimalConstants()
	assert.NilError(t, err)
	c.Sizes = append(c.Sizes, Parameter{Name: "apples", Value: 3, Cucine: &seven, AssumedToday: true})
	c.Assumed = append(c.Assumed, Parameter{Name: "pears", Value: 4})
	c.Slopes = append(c.Slopes, Slope{Name: "plum_bytes", Fit: Fit{Slope: 5, Intercept: 1}})
	c.Missing = append(c.Missing, MissingSlope{Name: "figs", Reason: "none"})
	for _, tt := range []struct {
		formula    Formula
		deployment Deployment
		want       Value
	}{
		{"apples / 2", Design, Value{Amount: 1.5}},
		{"apples / 2", Cucine, Value{Amount: 3.5, Assumed: true}},
		{"plum_bytes_base + plum_bytes * apples", Design, Value{Amount: 16}},
		{"max(apples, pears)", Design, Value{Amount: 4, Assumed: true}},
		{"figs * pears", Design, Value{Assumed: true, Missing: []string{"figs"}}},
	} {
		s, err := NewScope(c, tt.deployment)
		assert.NilError(t, err)
		got, err := s.Eval(tt.formula)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, tt.want)
	}
	s, err := NewScope(c, Design)
	assert.NilError(t, err)
	for _, bad := range []Formula{"cherries", "apples /", "apples / 0", "\"apples\" + \"pears\""} {
		_, err := s.Eval(bad)
		assert.ErrorIs(t, err, ErrFormula, "%s", bad)
	}
}

// minimalConstants returns constants with a value for each name that the derived values
// need.
func minimalConstants() (*Constants, error) {
	derived := make(map[string]bool)
	given := make(map[string]bool)
	c := &Constants{}
	for _, d := range Derivations() {
		names, err := d.Formula.Names()
		if err != nil {
			return nil, err
		}
		for _, name := range names {
			if _, fixed := conversions[name]; !fixed && !derived[name] && !given[name] {
				given[name] = true
				c.Sizes = append(c.Sizes, Parameter{Name: name, Value: 2})
			}
		}
		derived[d.Name] = true
	}
	return c, nil
}

func TestUnitFormat(t *testing.T) {
	for _, tt := range []struct {
		unit   Unit
		amount float64
		want   string
	}{
		{ByteCount, 8_640_000, "8.64 MB"},
		{BytesPerSecond, 999, "999 B/s"},
		{Fraction, 0.045, "4.50 %"},
		{Seconds, 0.00031, "310 µs"},
		{Seconds, 48, "48.0 s"},
		{PerSecond, 12345.6, "12,346 /s"},
		{Count, 0.693, "0.693"},
	} {
		assert.Equal(t, tt.unit.Format(tt.amount), tt.want)
	}
}
