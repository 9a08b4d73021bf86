package sizing

import (
	"fmt"
	"strings"
)

// Renderer makes the worked-out sections of the page.
type Renderer struct {
	constants *Constants
	scopes    map[Deployment]*Scope
}

// deployments are the columns of the sums.
var deployments = []Deployment{Design, Cucine, Pryce}

// NewRenderer returns a renderer, or ErrFormula if a derived figure can't be
// worked out.
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

// Sections returns all sections, or the first formula's error.
func (r *Renderer) Sections() ([]Section, error) {
	makers := []struct {
		name string
		make func() (string, error)
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
	for _, m := range makers {
		body, err := m.make()
		if err != nil {
			return nil, fmt.Errorf("section %s: %w", m.name, err)
		}
		sections = append(sections, Section{Name: m.name, Body: body})
	}
	return sections, nil
}

const (
	// assumedMark follows each figure that rests on an assumed one.
	assumedMark = " †"
	notMeasured = "not measured"
)

// show prints a value with its mark, or names what has not been measured.
func show(v Value, u Unit) string {
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

// code prints a formula or name.
func code(s string) string { return "`" + s + "`" }

// figures evaluates a formula for each deployment and returns the cells.
func (r *Renderer) figures(f Formula, u Unit) ([]string, error) {
	var cells []string
	for _, d := range deployments {
		v, err := r.scopes[d].Eval(f)
		if err != nil {
			return nil, err
		}
		cells = append(cells, show(v, u))
	}
	return cells, nil
}

// missingNote names the slopes that are not measured yet.
func (r *Renderer) missingNote() string {
	if len(r.constants.Missing) == 0 {
		return ""
	}
	var b strings.Builder
	b.WriteString("\nNot measured yet, and left out of the sums:\n\n")
	for _, m := range r.constants.Missing {
		fmt.Fprintf(&b, "* %s: %s\n", code(m.Name), m.Reason)
	}
	return b.String()
}
