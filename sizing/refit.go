package sizing

import (
	"errors"
	"fmt"
	"time"
)

// Refit replaces the points of every slope that the measurements speak of and
// fits it anew; other slopes stay as they are. It returns the names of the slopes
// it fitted, and ErrFewPoints for those with too few sizes, which stay unchanged.
func (c *Constants) Refit(measurements []Measurement, day time.Time) ([]string, error) {
	var fitted []string
	var faults []error
	for i := range c.Slopes {
		s := &c.Slopes[i]
		points := pointsOf(*s, measurements)
		if len(points) == 0 {
			continue
		}
		fit, err := FitLine(points)
		if err != nil {
			faults = append(faults, fmt.Errorf("slope %s: %w", s.Name, err))
			continue
		}
		s.Fit = fit
		s.Points = points
		s.Date = day.Format(time.DateOnly)
		fitted = append(fitted, s.Name)
	}
	return fitted, errors.Join(faults...)
}

func pointsOf(s Slope, measurements []Measurement) []Point {
	var points []Point
	for _, m := range measurements {
		if p, ok := m.Point(s); ok {
			points = append(points, p)
		}
	}
	return points
}
