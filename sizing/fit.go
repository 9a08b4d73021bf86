package sizing

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement: a size and the total cost at that size.
type Point [2]float64

func (p Point) Size() float64 { return p[0] }

func (p Point) Total() float64 { return p[1] }

// Fit is a least-squares line with the standard errors of its two coefficients.
type Fit struct {
	Slope          float64 `toml:"slope"`
	SlopeError     float64 `toml:"slope_error"`
	Intercept      float64 `toml:"intercept"`
	InterceptError float64 `toml:"intercept_error"`
}

// FitLine fits a line to points. It returns ErrFewPoints if they have fewer than
// MinPoints distinct sizes.
func FitLine(points []Point) (Fit, error) {
	if n := distinctSizes(points); n < MinPoints {
		return Fit{}, fmt.Errorf("%w: %d sizes, %d needed", ErrFewPoints, n, MinPoints)
	}
	sizes, totals := splitPoints(points)
	intercept, slope := stat.LinearRegression(sizes, totals, nil, false)
	slopeError, interceptError := standardErrors(sizes, totals, intercept, slope)
	totalScale := maxAbs(totals)
	slopeScale := totalScale / maxAbs(sizes)
	return Fit{
		Slope:          roundSignificant(slope, slopeScale),
		SlopeError:     roundSignificant(slopeError, slopeScale),
		Intercept:      roundSignificant(intercept, totalScale),
		InterceptError: roundSignificant(interceptError, totalScale),
	}, nil
}

func splitPoints(points []Point) (sizes, totals []float64) {
	for _, p := range points {
		sizes = append(sizes, p.Size())
		totals = append(totals, p.Total())
	}
	return sizes, totals
}

// standardErrors returns the standard errors of slope and intercept, estimated from the
// residuals with n - 2 degrees of freedom.
func standardErrors(sizes, totals []float64, intercept, slope float64) (slopeError, interceptError float64) {
	var squaredResiduals float64
	for i, x := range sizes {
		d := totals[i] - intercept - slope*x
		squaredResiduals += d * d
	}
	n := float64(len(sizes))
	variance := squaredResiduals / (n - 2)
	mean, sampleVariance := stat.MeanVariance(sizes, nil)
	sumOfSquares := sampleVariance * (n - 1)
	slopeError = math.Sqrt(variance / sumOfSquares)
	interceptError = math.Sqrt(variance * (1/n + mean*mean/sumOfSquares))
	return slopeError, interceptError
}

const (
	// significantDigits is the precision of stored coefficients.
	significantDigits = 5
	// roundingTolerance is the fraction of the data's magnitude below which a
	// coefficient is floating-point rounding error.
	roundingTolerance = 1e-12
)

// roundSignificant rounds v to significantDigits digits, which keeps the constants file
// readable, and returns zero if v is rounding error compared with scale.
func roundSignificant(v, scale float64) float64 {
	if math.Abs(v) <= roundingTolerance*scale {
		return 0
	}
	factor := math.Pow(10, significantDigits-1-math.Floor(math.Log10(math.Abs(v))))
	return math.Round(v*factor) / factor
}

// maxAbs returns the largest absolute value.
func maxAbs(values []float64) float64 {
	var largest float64
	for _, v := range values {
		largest = max(largest, math.Abs(v))
	}
	return largest
}
