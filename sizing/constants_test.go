package sizing

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const goodSlope = `
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

func TestReadConstantsRefuses(t *testing.T) {
	size := "[[size]]\nname = \"nodes\"\nvalue = 7\nunit = \"nodes\"\nsource = \"letter\"\n"
	for name, tt := range map[string]struct {
		text string
		want string
	}{
		"good":             {size + goodSlope, ""},
		"two sizes":        {strings.Replace(goodSlope, "[4.0, 18.0]", "[2.0, 14.0]", 1), "2 sizes, 3 needed"},
		"no points":        {goodSlope[:strings.Index(goodSlope, "points")], "0 sizes, 3 needed"},
		"another line":     {strings.Replace(goodSlope, "slope = 2.0", "slope = 1.0", 1), "its points give"},
		"no command":       {strings.Replace(goodSlope, "BenchmarkSlopeRecords", "", 1), "does not say how it was measured"},
		"name twice":       {size + size, "nodes stands twice"},
		"no source":        {strings.Replace(size, "letter", "", 1), "no source"},
		"no identifier":    {strings.Replace(size, "\"nodes\"\nvalue", "\"no des\"\nvalue", 1), "can't be a name"},
		"unknown key":      {size + "assumption = 1\n", "unknown key"},
		"missing, no why":  {"[[missing]]\nname = \"x\"\nwhy = \"\"\n", "no reason"},
		"assumed, no why":  {strings.Replace(strings.Replace(size, "[[size]]", "[[assumed]]", 1), "letter", "", 1), "no source"},
		"missing measured": {goodSlope + "[[missing]]\nname = \"record_bytes\"\nwhy = \"later\"\n", "stands twice"},
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
	// By hand: Sxx 5, Sxy 13; residuals 0.4 -0.2 -0.8 0.6, squared 1.2, over 2 is 0.6.
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
	each, whole, few := declared, declared, declared
	each.Name, each.Metric, each.PerUnit = "record_bytes", "B/record", true
	whole.Name, whole.Metric = "record_ns", "ns/op"
	few.Name, few.Metric, few.Where = "witness_ns", "ns/op", []string{"kind=witness"}

	c := Constants{Slopes: []Slope{each, whole}}
	fitted, err := c.Refit(measurements, day)
	assert.NilError(t, err)
	assert.DeepEqual(t, fitted, []string{"record_bytes", "record_ns"})
	assert.DeepEqual(t, c.Slopes[0].Fit, Fit{Slope: 12})
	assert.DeepEqual(t, c.Slopes[1].Fit, Fit{Slope: 10, Intercept: 40})
	assert.DeepEqual(t, c.Slopes[1].Points, []Point{{1, 50}, {2, 60}, {4, 80}})
	assert.NilError(t, c.Check())

	c = Constants{Slopes: []Slope{few}}
	_, err = c.Refit(measurements, day)
	assert.ErrorIs(t, err, ErrFewPoints)
}
