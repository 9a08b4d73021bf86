package node

import (
	"sync"
	"testing"
	"testing/synctest"
)

// cell is the result of a fault at a step.
type cell struct {
	report     tally
	violations []string
}

// TestFaultMatrix injects every fault at every step and compares the results with the
// page. Under the race detector, which is slow, it runs a subset of the cells that
// covers each step and each fault, and does not compare the page.
func TestFaultMatrix(t *testing.T) {
	var mu sync.Mutex
	cells, wanted := make(matrix), 0
	t.Run("cells", func(t *testing.T) {
		for i, f := range faults() {
			if f.inapplicable != "" {
				continue
			}
			for j, s := range append(requestSteps(), controlSteps()...) {
				wanted++
				if raceEnabled && (i+j)%raceSampling != 0 {
					continue
				}
				t.Run(cellName(f, s), func(t *testing.T) {
					t.Parallel()
					c := &cell{}
					synctest.Test(t, func(t *testing.T) { c.run(t, f, s) })
					mu.Lock()
					defer mu.Unlock()
					cells[cellName(f, s)] = c
				})
			}
		}
	})
	var total tally
	for _, c := range cells {
		total.add(c.report)
	}
	t.Logf("%d cells: %+v", len(cells), total)
	if len(cells) < wanted {
		t.Logf("%d of %d cells were run, so the page is not compared", len(cells), wanted)
		return
	}
	cells.comparePage(t)
}

// run runs one trial.
func (c *cell) run(t *testing.T, f *fault, s *step) {
	x := newTrial(t)
	x.fault, x.step = f, s
	stop := x.background()
	s.run(x)
	stop()
	x.finish()
	c.violations = x.check()
	c.report = x.report
	for _, violation := range c.violations {
		t.Error(violation)
	}
	t.Logf("%+v", c.report)
}

// raceSampling means that under the race detector one in raceSampling cells is run.
const raceSampling = 5
