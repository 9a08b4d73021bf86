package sizing

import "errors"

var (
	// ErrConstants means that the constants file is not usable.
	ErrConstants = errors.New("sizing: bad constants")
	// ErrFewPoints means that a slope rests on fewer than MinPoints sizes.
	ErrFewPoints = errors.New("sizing: too few points for a slope")
	// ErrFormula means that a formula can't be evaluated.
	ErrFormula = errors.New("sizing: bad formula")
	// ErrNotMeasured means that a formula names a slope that has not been measured.
	ErrNotMeasured = errors.New("sizing: not measured")
	// ErrBenchmark means that benchmark output can't be read.
	ErrBenchmark = errors.New("sizing: bad benchmark output")
	// ErrPage means that the page lacks a marker.
	ErrPage = errors.New("sizing: bad page")
)
