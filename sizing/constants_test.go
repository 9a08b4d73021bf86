package sizing

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const validSlope = `
[[slope]]
name = "record_bytes"
unit = "bytes"
per = "record"
package = "ledger"
benchmark = "BenchmarkSlopeRecords"
metric = "B"
axis = "records"
slope = 2.0
slope_error = 0.0
intercept = 10.0
intercept_error = 0.0
date = "2026-12-02"
points = [[1.0, 12.0], [2.0, 14.0], [4.0, 18.0]]
`

func TestReadConstantsRejectsInvalid(t *testing.T) {
	size := "[[size]]\nname = \"nodes\"\nvalue = 7\nunit = \"nodes\"\nsource = \"letter\"\n"
	for name, tt := range map[string]struct {
		text string
		want string
	}{
		"valid":             {size + validSlope, ""},
		"two sizes":         {strings.Replace(validSlope, "[4.0, 18.0]", "[2.0, 14.0]", 1), "2 sizes, 3 needed"},
		"no points":         {validSlope[:strings.Index(validSlope, "points")], "0 sizes, 3 needed"},
		"wrong fit":         {strings.Replace(validSlope, "slope = 2.0", "slope = 1.0", 1), "but its points fit"},
		"no benchmark":      {strings.Replace(validSlope, "BenchmarkSlopeRecords", "", 1), "lacks its package, benchmark, metric or date"},
		"duplicate name":    {size + size, "name nodes is defined more than once"},
		"no source":         {strings.Replace(size, "letter", "", 1), "lacks a unit or a source"},
		"invalid name":      {strings.Replace(size, "\"nodes\"\nvalue", "\"no des\"\nvalue", 1), "is not a valid name"},
		"unknown key":       {size + "assumption = 1\n", "unknown key"},
		"missing no reason": {"[[missing]]\nname = \"x\"\nwhy = \"\"\n", "no reason"},
		"assumed no source": {strings.Replace(strings.Replace(size, "[[size]]", "[[assumed]]", 1), "letter", "", 1), "lacks a unit or a source"},
		"missing measured":  {validSlope + "[[missing]]\nname = \"record_bytes\"\nwhy = \"later\"\n", "is defined more than once"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := ReadConstants(strings.NewReader(tt.text))
			if tt.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, tt.want)
		})
	}
}

func TestFitLine(t *testing.T) {
	fit, err := FitLine([]Point{{1, 3}, {2, 5}, {3, 7}, {4, 11}})
	assert.NilError(t, err)
	// Expected values computed by hand: Sxx 5, Sxy 13; the residuals 0.4 -0.2 -0.8 0.6
	// have a sum of squares of 1.2, which over 2 degrees of freedom is 0.6.
	assert.DeepEqual(t, fit, Fit{Slope: 2.6, SlopeError: 0.34641, Intercept: 0, InterceptError: 0.94868})

	_, err = FitLine([]Point{{1, 3}, {1, 3.1}, {2, 5}})
	assert.ErrorIs(t, err, ErrFewPoints)
}

const benchmarkOutput = `goos: linux
pkg: hawthornrill.example/hawthornrill/ledger
BenchmarkSlopeRecords/records=1/kind=home-12   100  50 ns/op  12 B/record
BenchmarkSlopeRecords/records=2/kind=home-12   100  60 ns/op  12 B/record
BenchmarkSlopeRecords/records=4/kind=home-12   100  80 ns/op  12 B/record
BenchmarkSlopeRecords/records=4/kind=witness-12   100  999 ns/op  99 B/record
pkg: hawthornrill.example/hawthornrill/queue
BenchmarkSlopeRecords/records=9/kind=home-12   100  999 ns/op  99 B/record
`

func TestRefit(t *testing.T) {
	measurements, err := ReadMeasurements(strings.NewReader(benchmarkOutput))
	assert.NilError(t, err)
	day := time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)
	declared := Slope{Package: "ledger", Benchmark: "BenchmarkSlopeRecords", Axis: "records", Where: []string{"kind=home"}}
	perUnit, total, tooFew := declared, declared, declared
	perUnit.Name, perUnit.Metric, perUnit.PerUnit = "record_bytes", "B/record", true
	total.Name, total.Metric = "record_ns", "ns/op"
	tooFew.Name, tooFew.Metric, tooFew.Where = "witness_ns", "ns/op", []string{"kind=witness"}

	c := Constants{Slopes: []Slope{perUnit, total}}
	fitted, err := c.Refit(measurements, day)
	assert.NilError(t, err)
	assert.DeepEqual(t, fitted, []string{"record_bytes", "record_ns"})
	assert.DeepEqual(t, c.Slopes[0].Fit, Fit{Slope: 12})
	assert.DeepEqual(t, c.Slopes[1].Fit, Fit{Slope: 10, Intercept: 40})
	assert.DeepEqual(t, c.Slopes[1].Points, []Point{{1, 50}, {2, 60}, {4, 80}})
	assert.NilError(t, c.Check())

	c = Constants{Slopes: []Slope{tooFew}}
	_, err = c.Refit(measurements, day)
	assert.ErrorIs(t, err, ErrFewPoints)
}
