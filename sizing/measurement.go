package sizing

import (
	"fmt"
	"io"
	"strconv"
	"strings"

	"golang.org/x/perf/benchfmt"
)

// Measurement is one result line of go test -bench.
type Measurement struct {
	// Package is the package's path relative to the module.
	Package string
	// Benchmark is the name of the benchmark function.
	Benchmark string
	// Parts maps the names of the sub-benchmark's "name=value" parts to their values.
	Parts map[string]string
	// Metrics maps units to the reported values.
	Metrics map[string]float64
}

// modulePath is the prefix of the package paths in benchmark output.
const modulePath = "hawthornrill.example/hawthornrill/"

// ReadMeasurements reads the output of go test -bench.
func ReadMeasurements(r io.Reader) ([]Measurement, error) {
	var measurements []Measurement
	reader := benchfmt.NewReader(r, "benchmark output")
	for reader.Scan() {
		switch record := reader.Result().(type) {
		case *benchfmt.Result:
			measurements = append(measurements, newMeasurement(record))
		case *benchfmt.SyntaxError:
			return nil, fmt.Errorf("%w: %w", ErrBenchmark, record)
		}
	}
	if err := reader.Err(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBenchmark, err)
	}
	return measurements, nil
}

func newMeasurement(r *benchfmt.Result) Measurement {
	base, parts := r.Name.Parts()
	m := Measurement{
		Package:   strings.TrimPrefix(r.GetConfig("pkg"), modulePath),
		Benchmark: "Benchmark" + string(base),
		Parts:     make(map[string]string),
		Metrics:   make(map[string]float64),
	}
	for _, part := range parts {
		name, value, ok := strings.Cut(strings.TrimPrefix(string(part), "/"), "=")
		if ok {
			m.Parts[name] = value
		}
	}
	for _, v := range r.Values {
		m.setMetric(v)
	}
	return m
}

// setMetric stores a value in the unit that the benchmark reported, not in the base
// unit that benchfmt converts it to.
func (m Measurement) setMetric(v benchfmt.Value) {
	if v.OrigUnit != "" {
		m.Metrics[v.OrigUnit] = v.OrigValue
		return
	}
	m.Metrics[v.Unit] = v.Value
}

// Point returns the measurement as a point of the slope. It returns false if the
// measurement is not one of that slope.
func (m Measurement) Point(s Slope) (Point, bool) {
	if m.Package != s.Package || m.Benchmark != s.Benchmark || !m.matches(s.Where) {
		return Point{}, false
	}
	size, err := strconv.ParseFloat(m.Parts[s.Axis], 64)
	if err != nil {
		return Point{}, false
	}
	total, ok := m.Metrics[s.Metric]
	if !ok {
		return Point{}, false
	}
	if s.PerUnit {
		total *= size
	}
	return Point{size, total}, true
}

func (m Measurement) matches(parts []string) bool {
	for _, part := range parts {
		name, value, _ := strings.Cut(part, "=")
		if m.Parts[name] != value {
			return false
		}
	}
	return true
}
