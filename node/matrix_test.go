package node

import (
	"sync"
	"testing"
	"testing/synctest"
)

// cell is a fault at a step, with what came of it.
type cell struct {
	report tally
	broken []string
}

// TestFaultMatrix has every fault happen at every step, and compares the page with
// the grid. Under the race detector, whose price is high, it takes a part of the
// cells, each step and each fault among them, and leaves the page.
func TestFaultMatrix(t *testing.T) {
	var mu sync.Mutex
	cells, wanted := make(grid), 0
	t.Run("cells", func(t *testing.T) {
		for i, f := range faults() {
			if f.never != "" {
				continue
			}
			for j, s := range append(requestSteps(), controlSteps()...) {
				wanted++
				if raceEnabled && (i+j)%raceShare != 0 {
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
		t.Logf("%d of %d cells were run: the page is not compared", len(cells), wanted)
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
	c.broken = x.check()
	c.report = x.report
	for _, broken := range c.broken {
		t.Error(broken)
	}
	t.Logf("%+v", c.report)
}

// raceShare is one cell in how many runs under the race detector.
const raceShare = 5
