package sizing

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement: a size and the total cost at it.
type Point [2]float64

// Size returns the size measured at.
func (p Point) Size() float64 { return p[0] }

// Total returns the cost in all.
func (p Point) Total() float64 { return p[1] }

// Fit is a straight line through points by least squares, with the standard
// errors of its two coefficients.
type Fit struct {
	Slope          float64 `toml:"slope"`
	SlopeError     float64 `toml:"slope_error"`
	Intercept      float64 `toml:"intercept"`
	InterceptError float64 `toml:"intercept_error"`
}

// FitLine fits a line to points, which need MinPoints different sizes; else it
// returns ErrFewPoints.
func FitLine(points []Point) (Fit, error) {
	if n := distinctSizes(points); n < MinPoints {
		return Fit{}, fmt.Errorf("%w: %d sizes, %d needed", ErrFewPoints, n, MinPoints)
	}
	sizes, totals := columns(points)
	intercept, slope := stat.LinearRegression(sizes, totals, nil, false)
	slopeError, interceptError := standardErrors(sizes, totals, intercept, slope)
	height := largest(totals)
	steepness := height / largest(sizes)
	return Fit{
		Slope:          round(slope, steepness),
		SlopeError:     round(slopeError, steepness),
		Intercept:      round(intercept, height),
		InterceptError: round(interceptError, height),
	}, nil
}

func columns(points []Point) (sizes, totals []float64) {
	for _, p := range points {
		sizes = append(sizes, p.Size())
		totals = append(totals, p.Total())
	}
	return sizes, totals
}

// standardErrors returns those of slope and intercept, from the residuals with
// two degrees of freedom taken.
func standardErrors(sizes, totals []float64, intercept, slope float64) (ofSlope, ofIntercept float64) {
	var residual float64
	for i, x := range sizes {
		d := totals[i] - intercept - slope*x
		residual += d * d
	}
	n := float64(len(sizes))
	variance := residual / (n - 2)
	mean, spread := stat.MeanVariance(sizes, nil)
	squares := spread * (n - 1)
	ofSlope = math.Sqrt(variance / squares)
	ofIntercept = math.Sqrt(variance * (1/n + mean*mean/squares))
	return ofSlope, ofIntercept
}

const (
	// significantDigits are kept of every fitted figure.
	significantDigits = 5
	// rounding is the part of the data's size below which a figure is only the
	// rounding of floating-point arithmetic.
	rounding = 1e-12
)

// round keeps significantDigits digits, so that the constants file stays
// readable, and takes what is nothing beside scale for zero.
func round(v, scale float64) float64 {
	if math.Abs(v) <= rounding*scale {
		return 0
	}
	unit := math.Pow(10, significantDigits-1-math.Floor(math.Log10(math.Abs(v))))
	return math.Round(v*unit) / unit
}

// largest returns the greatest absolute value.
func largest(values []float64) float64 {
	var most float64
	for _, v := range values {
		most = max(most, math.Abs(v))
	}
	return most
}
