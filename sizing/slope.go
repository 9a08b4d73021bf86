package sizing

import "fmt"

// MinPoints is the minimum number of distinct sizes for fitting a slope. Two points
// would leave no degree of freedom for the standard errors.
const MinPoints = 3

// Slope is a line fitted to a benchmark's results at several sizes. In formulas, its
// Name is the slope and its Name followed by "_base" is the intercept.
type Slope struct {
	Name string `toml:"name"`
	// Unit is the unit of the measured cost, Per the unit of the size.
	Unit string `toml:"unit"`
	Per  string `toml:"per"`

	// Package and Benchmark identify the benchmark, Metric the unit of the result that
	// is fitted, and Axis the "name=value" part of the sub-benchmark that is the size.
	Package   string `toml:"package"`
	Benchmark string `toml:"benchmark"`
	Metric    string `toml:"metric"`
	Axis      string `toml:"axis"`
	// Where lists other "name=value" parts that the sub-benchmark must have.
	Where []string `toml:"where,omitempty"`
	// PerUnit is true if the metric is the cost per unit of size, so that the total is
	// the metric times the size.
	PerUnit bool `toml:"each,omitempty"`

	Fit

	// Date is the day of the run.
	Date string `toml:"date"`
	// Points are the measured pairs of size and total.
	Points []Point `toml:"points"`
}

// baseSuffix is appended to a slope's name to refer to its intercept in formulas.
const baseSuffix = "_base"

// Command returns the shell command that measures the slope.
func (s Slope) Command() string {
	return fmt.Sprintf("go test -run '^$' -bench '^%s$' ./%s", s.Benchmark, s.Package)
}

// Sizes returns the number of distinct sizes measured.
func (s Slope) Sizes() int {
	return distinctSizes(s.Points)
}

func distinctSizes(points []Point) int {
	sizes := make(map[float64]bool)
	for _, p := range points {
		sizes[p.Size()] = true
	}
	return len(sizes)
}
