package sizing

import (
	"go/ast"
	"go/parser"
	"math"
	"os"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	constantsFile = "../docs/capacity.toml"
	pageFile      = "../docs/CAPACITY.md"
)

func readFile(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	assert.NilError(t, err)
	return string(text)
}

func TestPageMatchesConstants(t *testing.T) {
	page := readFile(t, pageFile)
	rendered, err := Render(strings.NewReader(readFile(t, constantsFile)), page)
	assert.NilError(t, err)
	assert.Equal(t, rendered, page, "run: go run ./cmd/hawthornrill-sizing page")
}

// Guards TestPageMatchesConstants against passing whatever the page holds: a change of
// any parameter or slope of the constants file, or of a cell of the page, must make the
// rendered page differ.
func TestPageComparisonDetectsChanges(t *testing.T) {
	page := readFile(t, pageFile)
	constants, err := ReadConstants(strings.NewReader(readFile(t, constantsFile)))
	assert.NilError(t, err)
	for _, list := range [][]Parameter{constants.Sizes, constants.Limits, constants.Settings, constants.Assumed} {
		for i := range list {
			old := list[i].Value
			list[i].Value = old*1.25 + 1
			assert.Assert(t, renderWith(t, constants, page) != page, "%s is not in the page", list[i].Name)
			list[i].Value = old
		}
	}
	for i := range constants.Slopes {
		s := &constants.Slopes[i]
		old := s.Slope
		s.Slope = old*1.25 + 1
		assert.Assert(t, renderWith(t, constants, page) != page, "%s is not in the page", s.Name)
		s.Slope = old
	}
	tampered := strings.Replace(page, "`nodes` | 1,000 |", "`nodes` | 1,001 |", 1)
	assert.Assert(t, renderWith(t, constants, tampered) != tampered)
}

func renderWith(t *testing.T, c *Constants, page string) string {
	t.Helper()
	r, err := NewRenderer(c)
	assert.NilError(t, err)
	sections, err := r.Sections()
	assert.NilError(t, err)
	rendered, err := InsertSections(page, sections)
	assert.NilError(t, err)
	return rendered
}

// dependsOnAssumed follows names through the derived values independently of Scope,
// whose marking of assumed values is under test.
func dependsOnAssumed(t *testing.T, c *Constants, f Formula) bool {
	t.Helper()
	names, err := f.Names()
	assert.NilError(t, err)
	for _, name := range names {
		if slices.ContainsFunc(c.Assumed, func(a Parameter) bool { return a.Name == name }) {
			return true
		}
		for _, d := range Derivations() {
			if d.Name == name && dependsOnAssumed(t, c, d.Formula) {
				return true
			}
		}
	}
	return false
}

func allFormulas() []Formula {
	var all []Formula
	for _, d := range Derivations() {
		all = append(all, d.Formula)
	}
	for _, role := range Roles() {
		for _, item := range role.Items {
			all = append(all, item.Formula)
		}
	}
	for _, event := range Events() {
		for _, m := range event.Estimates {
			all = append(all, m.Formula)
		}
	}
	for _, p := range Peaks() {
		all = append(all, p.Formula)
	}
	for _, r := range Replacements() {
		for _, way := range r.Alternatives {
			all = append(all, way.Formula)
		}
	}
	for _, hop := range Hops() {
		all = append(all, hop.Formula)
	}
	for _, call := range StoreCalls() {
		all = append(all, call.Formula)
	}
	return all
}

func TestAssumedValuesAreMarked(t *testing.T) {
	constants, err := ReadConstants(strings.NewReader(readFile(t, constantsFile)))
	assert.NilError(t, err)
	page := readFile(t, pageFile)
	for _, a := range constants.Assumed {
		assert.Assert(t, strings.Contains(page, "| `"+a.Name+"` | "+formatConstant(a.Value)+assumedMark+" |"), "%s", a.Name)
	}
	for _, f := range allFormulas() {
		cells := designCells(page, f)
		assert.Assert(t, len(cells) > 0, "formula %s is not in the page", f)
		for _, cell := range cells {
			marked := strings.Contains(cell, assumedMark) || strings.Contains(cell, notMeasured)
			assert.Assert(t, marked || !dependsOnAssumed(t, constants, f), "%s is not marked: %s", f, cell)
		}
	}
}

// designCells returns the cells in the column of the design size, from all rows of the
// page that show the formula.
func designCells(page string, f Formula) []string {
	var cells []string
	design := -1
	for line := range strings.Lines(page) {
		row := strings.Split(line, " | ")
		if i := slices.Index(row, Design.String()); i >= 0 {
			design = i
		}
		if strings.Contains(line, "`"+string(f)+"` |") {
			cells = append(cells, row[design])
		}
	}
	return cells
}

// The components are measured by separate benchmarks, which could leave out or count
// twice part of a node's work: their sum must match the measurement of whole nodes.
func TestMeasuredPartsSumToWholeNode(t *testing.T) {
	const tolerance = 0.05
	constants, err := ReadConstants(strings.NewReader(readFile(t, constantsFile)))
	assert.NilError(t, err)
	scope, err := NewScope(constants, Design)
	assert.NilError(t, err)
	for _, c := range CrossChecks() {
		parts, err := scope.Eval(c.Parts)
		assert.NilError(t, err)
		whole, err := scope.Eval(c.Whole)
		assert.NilError(t, err)
		deviation := math.Abs(parts.Amount/whole.Amount - 1)
		assert.Assert(t, deviation < tolerance, "%s: parts %v, whole %v", c.Description, parts.Amount, whole.Amount)
	}
}

// A number written into a formula would be a constant without a name, a source or a
// mark for assumed values. Only 1 and 2 are allowed.
func TestFormulasHaveNoUnnamedConstants(t *testing.T) {
	for _, f := range allFormulas() {
		expr, err := parser.ParseExpr(string(f))
		assert.NilError(t, err)
		ast.Inspect(expr, func(n ast.Node) bool {
			literal, ok := n.(*ast.BasicLit)
			assert.Assert(t, !ok || literal.Value == "1" || literal.Value == "2", "%s", f)
			return true
		})
	}
}
