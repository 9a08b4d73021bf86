package sizing

import "errors"

var (
	// ErrConstants means that the constants file can't be read or is invalid.
	ErrConstants = errors.New("sizing: invalid constants")
	// ErrFewPoints means that a slope was measured at fewer than MinPoints sizes.
	ErrFewPoints = errors.New("sizing: too few sizes to fit a slope")
	// ErrFormula means that a formula can't be parsed or evaluated.
	ErrFormula = errors.New("sizing: invalid formula")
	// ErrNotMeasured means that a formula uses a slope that has not been measured.
	ErrNotMeasured = errors.New("sizing: slope not measured")
	// ErrBenchmark means that benchmark output can't be parsed.
	ErrBenchmark = errors.New("sizing: invalid benchmark output")
	// ErrPage means that the page can't be read or lacks a section marker.
	ErrPage = errors.New("sizing: invalid page")
)
