package sizing

import (
	"errors"
	"fmt"
	"time"
)

// Refit replaces the points of every slope that has measurements and fits its line to
// them; other slopes are not changed. It returns the names of the slopes it fitted, and
// ErrFewPoints for those with too few sizes, which are not changed either.
func (c *Constants) Refit(measurements []Measurement, day time.Time) ([]string, error) {
	var fitted []string
	var errs []error
	for i := range c.Slopes {
		s := &c.Slopes[i]
		points := matchingPoints(*s, measurements)
		if len(points) == 0 {
			continue
		}
		fit, err := FitLine(points)
		if err != nil {
			errs = append(errs, fmt.Errorf("slope %s: %w", s.Name, err))
			continue
		}
		s.Fit = fit
		s.Points = points
		s.Date = day.Format(time.DateOnly)
		fitted = append(fitted, s.Name)
	}
	return fitted, errors.Join(errs...)
}

func matchingPoints(s Slope, measurements []Measurement) []Point {
	var points []Point
	for _, m := range measurements {
		if p, ok := m.Point(s); ok {
			points = append(points, p)
		}
	}
	return points
}
