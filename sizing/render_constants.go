package sizing

import (
	"fmt"
	"strings"
)

func (r *Renderer) sizes() (string, error) {
	t := table{header: []string{"name", "design", Cucine.String(), Pryce.String(), "unit", "from"}}
	for _, list := range [][]Parameter{r.constants.Sizes, r.constants.Limits} {
		for _, p := range list {
			t.add(codeSpan(p.Name), formatConstant(p.Value), currentValue(p, Cucine), currentValue(p, Pryce), p.Unit, p.Source)
		}
	}
	return t.String(), nil
}

func currentValue(p Parameter, d Deployment) string {
	if p.AssumedToday {
		return formatConstant(p.ValueFor(d)) + assumedMark
	}
	return formatConstant(p.ValueFor(d))
}

func (r *Renderer) settings() (string, error) {
	t := table{header: []string{"name", "value", "unit", "set by"}}
	for _, p := range r.constants.Settings {
		t.add(codeSpan(p.Name), formatConstant(p.Value), p.Unit, p.Source)
	}
	return t.String(), nil
}

func (r *Renderer) assumed() (string, error) {
	t := table{header: []string{"name", "design", Cucine.String(), Pryce.String(), "unit", "why"}}
	for _, p := range r.constants.Assumed {
		t.add(codeSpan(p.Name), formatConstant(p.Value)+assumedMark, formatConstant(p.ValueFor(Cucine))+assumedMark, formatConstant(p.ValueFor(Pryce))+assumedMark, p.Unit, p.Source)
	}
	return t.String(), nil
}

func (r *Renderer) slopes() (string, error) {
	t := table{header: []string{"name", "slope", "intercept", "sizes measured", "date", "command"}}
	for _, s := range r.constants.Slopes {
		t.add(
			codeSpan(s.Name),
			fmt.Sprintf("%s ± %s %s per %s", formatConstant(s.Slope), formatConstant(s.SlopeError), s.Unit, s.Per),
			fmt.Sprintf("%s ± %s %s", formatConstant(s.Intercept), formatConstant(s.InterceptError), s.Unit),
			measuredSizes(s),
			s.Date,
			codeSpan(s.Command())+" ("+metricDescription(s)+")",
		)
	}
	m := r.constants.Machine
	note := fmt.Sprintf("\nMeasured on %d cores with %s.\n", m.Cores, m.Go)
	return t.String() + note + r.missingNote(), nil
}

func metricDescription(s Slope) string {
	return strings.Join(append([]string{s.Metric, "over " + s.Axis}, s.Where...), ", ")
}

func measuredSizes(s Slope) string {
	var sizes []string
	seen := make(map[float64]bool)
	for _, p := range s.Points {
		if !seen[p.Size()] {
			seen[p.Size()] = true
			sizes = append(sizes, formatConstant(p.Size()))
		}
	}
	return fmt.Sprintf("%s (%d points)", strings.Join(sizes, "; "), len(s.Points))
}

func (r *Renderer) derived() (string, error) {
	t := table{header: []string{"name", "design", Cucine.String(), Pryce.String(), "unit", "formula"}}
	for _, d := range Derivations() {
		cells, err := r.deploymentCells(d.Formula, Count)
		if err != nil {
			return "", err
		}
		t.add(append(append([]string{codeSpan(d.Name)}, cells...), d.Unit, codeSpan(string(d.Formula)))...)
	}
	return t.String(), nil
}

// formatConstant formats a constant with all its digits, as stored in the file, and
// groups thousands.
func formatConstant(v float64) string {
	return groupThousands(exactDecimal(v))
}
