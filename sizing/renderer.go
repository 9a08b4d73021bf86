package sizing

import (
	"fmt"
	"strings"
)

// Renderer renders the generated sections of the page.
type Renderer struct {
	constants *Constants
	scopes    map[Deployment]*Scope
}

// deployments are the columns of the tables, in order.
var deployments = []Deployment{Design, Cucine, Pryce}

// NewRenderer returns a renderer, or ErrFormula if a derived value can't be computed.
func NewRenderer(c *Constants) (*Renderer, error) {
	r := &Renderer{constants: c, scopes: make(map[Deployment]*Scope)}
	for _, d := range deployments {
		scope, err := NewScope(c, d)
		if err != nil {
			return nil, err
		}
		r.scopes[d] = scope
	}
	return r, nil
}

// Sections returns all sections, or the first error of a formula.
func (r *Renderer) Sections() ([]Section, error) {
	renderers := []struct {
		name   string
		render func() (string, error)
	}{
		{"sizes", r.sizes},
		{"settings", r.settings},
		{"assumed", r.assumed},
		{"slopes", r.slopes},
		{"derived", r.derived},
		{"roles", r.roles},
		{"items", r.items},
		{"sums", r.sums},
		{"peaks", r.peaks},
		{"crosscheck", r.crossCheck},
		{"events", r.events},
		{"latency", r.latency},
		{"store", r.store},
		{"replacements", r.replacements},
		{"growth", r.growth},
	}
	var sections []Section
	for _, m := range renderers {
		body, err := m.render()
		if err != nil {
			return nil, fmt.Errorf("section %s: %w", m.name, err)
		}
		sections = append(sections, Section{Name: m.name, Body: body})
	}
	return sections, nil
}

const (
	// assumedMark follows each value that depends on an assumed constant.
	assumedMark = " †"
	notMeasured = "not measured"
)

// formatValue formats a value, marked if it is assumed or lacks unmeasured parts.
func formatValue(v Value, u Unit) string {
	if len(v.Missing) > 0 && v.Amount == 0 {
		return notMeasured
	}
	text := u.Format(v.Amount)
	if v.Assumed {
		text += assumedMark
	}
	if !v.Complete() {
		text += ", part " + notMeasured
	}
	return text
}

// codeSpan returns a Markdown code span.
func codeSpan(s string) string { return "`" + s + "`" }

// deploymentCells evaluates a formula for each deployment and returns the formatted
// values.
func (r *Renderer) deploymentCells(f Formula, u Unit) ([]string, error) {
	var cells []string
	for _, d := range deployments {
		v, err := r.scopes[d].Eval(f)
		if err != nil {
			return nil, err
		}
		cells = append(cells, formatValue(v, u))
	}
	return cells, nil
}

// missingNote lists the slopes that have not been measured, with the reasons. It
// returns an empty string if there are none.
func (r *Renderer) missingNote() string {
	if len(r.constants.Missing) == 0 {
		return ""
	}
	var b strings.Builder
	b.WriteString("\nNot measured yet, and left out of the sums:\n\n")
	for _, m := range r.constants.Missing {
		fmt.Fprintf(&b, "* %s: %s\n", codeSpan(m.Name), m.Reason)
	}
	return b.String()
}
