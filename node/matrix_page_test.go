package node

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

const faultPage = "../docs/FAULTS.md"

// inapplicableSteps are steps that the nodes of the matrix never take, because of
// inapplicableReason.
var inapplicableSteps = []string{"lease", "order", "read back"}

const inapplicableReason = "the grid's nodes give no orders unless the settings say so; the faults at these steps are in the tests of package coordinator"

// matrix holds the results of the cells by name.
type matrix map[string]*cell

func cellName(f *fault, s *step) string { return f.name + " at " + s.name }

// page returns the page with the matrix and the counts. Only the counts differ from
// run to run.
func (m matrix) page() string {
	steps := append(requestSteps(), controlSteps()...)
	var b strings.Builder
	b.WriteString(pageHeader)
	tested, inapplicable := 0, 0
	fmt.Fprintf(&b, "| fault | %s |\n|%s\n", stepNames(steps), strings.Repeat("---|", 1+len(steps)+len(inapplicableSteps)))
	for _, f := range faults() {
		fmt.Fprintf(&b, "| %s |", f.name)
		for _, s := range steps {
			mark := "-"
			if c := m[cellName(f, s)]; c != nil {
				mark = c.mark()
				tested++
			} else {
				inapplicable++
			}
			fmt.Fprintf(&b, " %s |", mark)
		}
		inapplicable += len(inapplicableSteps)
		b.WriteString(strings.Repeat(" - |", len(inapplicableSteps)) + "\n")
	}
	fmt.Fprintf(&b, "\n%d cells: %d tested, %d can't occur.\n\n## Cells that can't occur\n\n", tested+inapplicable, tested, inapplicable)
	fmt.Fprintf(&b, "- steps %s: %s.\n", strings.Join(inapplicableSteps, ", "), inapplicableReason)
	for _, f := range faults() {
		if f.inapplicable != "" {
			fmt.Fprintf(&b, "- fault \"%s\": %s.\n", f.name, f.inapplicable)
		}
	}
	return b.String() + "\n" + m.counts()
}

// mark returns the text of a cell on the page.
func (c *cell) mark() string {
	if len(c.violations) > 0 {
		return "broken"
	}
	return "held"
}

func stepNames(steps []*step) string {
	var all []string
	for _, s := range steps {
		all = append(all, s.name)
	}
	return strings.Join(append(all, inapplicableSteps...), " | ")
}

const pageHeader = `# Faults

Every fault at every step, written by ` + "`go test ./node -run TestFaultMatrix -update`" + `; the same test without the flag
fails when this page is out of date. Whole nodes run in virtual time over an in-memory network, store and engines.
At the step's moment the fault begins; it lasts 8 s. Callers send the same key again at other nodes until they are
answered or told ran, at most 12 times, and once more when all is mended.

"held" means that, by the engines' own logs: no key ran twice; no key told not_run had run; every answer was whole and
its caller's own; no higher tier was shed while a lower one was served; an endpoint that leaves got nothing new after
3 s; no node's configuration went back, and an accepted edit was in force everywhere within 20 s; a drain cut nothing.
"-" means that the cell can't occur, for the reason below the grid. What nodes believe of one another is scripted here,
with 3 s until a dead or paused node is noticed; how it is noticed is tested in package membership.

`

// comparePage fails if the matrix on the page differs from m. With -update it writes
// the page instead.
func (m matrix) comparePage(t *testing.T) {
	want := m.page()
	if golden.FlagUpdate() {
		assert.NilError(t, os.WriteFile(faultPage, []byte(want), 0o644))
		return
	}
	have, err := os.ReadFile(faultPage)
	assert.NilError(t, err)
	haveMatrix, _, found := strings.Cut(string(have), countsTitle)
	wantMatrix, _, _ := strings.Cut(want, countsTitle)
	assert.Assert(t, found)
	assert.Equal(t, haveMatrix, wantMatrix, "docs/FAULTS.md is out of date; see its first line")
}

// countsTitle starts the part of the page that differs from run to run.
const countsTitle = "## Counts"

// counts returns the table of outcomes by fault.
func (m matrix) counts() string {
	var b strings.Builder
	b.WriteString(countsTitle + `

Of the run that wrote this page, over all steps and all callers of a fault's cells; they differ a little from run to run
with the order of events at one instant, and are not compared. "Cut" attempts got nothing whole: the node died or was
paused for longer than the caller waits. "Not at an engine" counts keys told ran at last that no engine had.

| fault | attempts | answered | not_run | unknown | ran | cut | not at an engine |
|---|---|---|---|---|---|---|---|
`)
	var total tally
	for _, f := range faults() {
		var sum tally
		for _, s := range append(requestSteps(), controlSteps()...) {
			if c := m[cellName(f, s)]; c != nil {
				sum.add(c.report)
			}
		}
		if sum.Attempts > 0 {
			b.WriteString(sum.row(f.name))
		}
		total.add(sum)
	}
	b.WriteString(total.row("all"))
	return b.String()
}

func (t tally) row(name string) string {
	return fmt.Sprintf("| %s | %d | %d | %d | %d | %d | %d | %d |\n", name, t.Attempts, t.Answered, t.NotRun, t.Unknown, t.Ran, t.Cut, t.NotAtEngine)
}
