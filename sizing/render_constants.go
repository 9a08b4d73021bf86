package sizing

import (
	"fmt"
	"strings"
)

func (r *Renderer) sizes() (string, error) {
	t := table{header: []string{"name", "design", Cucine.String(), Pryce.String(), "unit", "from"}}
	for _, list := range [][]Parameter{r.constants.Sizes, r.constants.Limits} {
		for _, f := range list {
			t.add(code(f.Name), plain(f.Value), today(f, Cucine), today(f, Pryce), f.Unit, f.Source)
		}
	}
	return t.String(), nil
}

func today(f Parameter, d Deployment) string {
	if f.AssumedToday {
		return plain(f.ValueFor(d)) + assumedMark
	}
	return plain(f.ValueFor(d))
}

func (r *Renderer) settings() (string, error) {
	t := table{header: []string{"name", "value", "unit", "set by"}}
	for _, f := range r.constants.Settings {
		t.add(code(f.Name), plain(f.Value), f.Unit, f.Source)
	}
	return t.String(), nil
}

func (r *Renderer) assumed() (string, error) {
	t := table{header: []string{"name", "design", Cucine.String(), Pryce.String(), "unit", "why"}}
	for _, f := range r.constants.Assumed {
		t.add(code(f.Name), plain(f.Value)+assumedMark, plain(f.ValueFor(Cucine))+assumedMark, plain(f.ValueFor(Pryce))+assumedMark, f.Unit, f.Source)
	}
	return t.String(), nil
}

func (r *Renderer) slopes() (string, error) {
	t := table{header: []string{"name", "slope", "intercept", "sizes measured", "date", "command"}}
	for _, s := range r.constants.Slopes {
		t.add(
			code(s.Name),
			fmt.Sprintf("%s ± %s %s per %s", plain(s.Slope), plain(s.SlopeError), s.Unit, s.Per),
			fmt.Sprintf("%s ± %s %s", plain(s.Intercept), plain(s.InterceptError), s.Unit),
			sizesOf(s),
			s.Date,
			code(s.Command())+" ("+metricOf(s)+")",
		)
	}
	m := r.constants.Machine
	note := fmt.Sprintf("\nMeasured on %d cores with %s.\n", m.Cores, m.Go)
	return t.String() + note + r.missingNote(), nil
}

func metricOf(s Slope) string {
	return strings.Join(append([]string{s.Metric, "over " + s.Axis}, s.Where...), ", ")
}

func sizesOf(s Slope) string {
	var sizes []string
	seen := make(map[float64]bool)
	for _, p := range s.Points {
		if !seen[p.Size()] {
			seen[p.Size()] = true
			sizes = append(sizes, plain(p.Size()))
		}
	}
	return fmt.Sprintf("%s (%d points)", strings.Join(sizes, "; "), len(s.Points))
}

func (r *Renderer) derived() (string, error) {
	t := table{header: []string{"name", "design", Cucine.String(), Pryce.String(), "unit", "formula"}}
	for _, d := range Derivations() {
		cells, err := r.figures(d.Formula, Count)
		if err != nil {
			return "", err
		}
		t.add(append(append([]string{code(d.Name)}, cells...), d.Unit, code(string(d.Formula)))...)
	}
	return t.String(), nil
}

// plain prints a constant as it stands in the file.
func plain(v float64) string {
	return grouped(trimmed(v))
}
