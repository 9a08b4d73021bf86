package sizing

import "fmt"

// MinPoints is the smallest number of different sizes that make a slope.
const MinPoints = 3

// Slope is a straight line fitted to what a benchmark measured at several sizes.
// In formulas its Name stands for the slope and its Name followed by "_base" for
// the intercept.
type Slope struct {
	Name string `toml:"name"`
	// Unit is that of the measure, Per what one step of the size is.
	Unit string `toml:"unit"`
	Per  string `toml:"per"`

	// Package and Benchmark say which benchmark measures it, Metric which of its
	// figures, and Axis which "name=value" part of the sub-benchmark is the size.
	Package   string `toml:"package"`
	Benchmark string `toml:"benchmark"`
	Metric    string `toml:"metric"`
	Axis      string `toml:"axis"`
	// Where lists other "name=value" parts that the sub-benchmark must have.
	Where []string `toml:"where,omitempty"`
	// Each is true if the metric is for one step of the size, so that the total is
	// the metric times the size.
	PerUnit bool `toml:"each,omitempty"`

	Fit

	// Date is the day of the run.
	Date string `toml:"date"`
	// Points are the measured pairs of size and total.
	Points []Point `toml:"points"`
}

// baseSuffix follows a slope's name where a formula means its intercept.
const baseSuffix = "_base"

// Command returns the shell command that measures the slope.
func (s Slope) Command() string {
	return fmt.Sprintf("go test -run '^$' -bench '^%s$' ./%s", s.Benchmark, s.Package)
}

// Sizes returns how many different sizes were measured.
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
