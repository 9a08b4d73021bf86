package coordinator

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStoreCallsAtRest bounds the store calls per group, from all nodes, in an hour
// without changes, by the number of groups. Each group has two candidates.
func TestStoreCallsAtRest(t *testing.T) {
	for _, groups := range []int{1, 3, 10, 33} {
		specs := make([]engineSpec, groups)
		for i := range specs {
			specs[i] = engineSpec{serves: fmt.Sprintf("m%02d", i)}
		}
		runFleetTest(t, specs, func(f *fleet) {
			time.Sleep(takeoverTime)
			before := f.store.Counts()
			time.Sleep(time.Hour)
			after := f.store.Counts()
			perGroup := func(from, to uint64) float64 { return float64(to-from) / 3600 / float64(groups) }
			writes := perGroup(before.Writes, after.Writes)
			reads := perGroup(before.Reads, after.Reads)
			watches := perGroup(before.Watches, after.Watches)
			t.Logf("%d groups, calls a second for each: %.4f writes, %.4f reads, %.4f watches", groups, writes, reads, watches)
			assert.Assert(t, writes < 0.11 && reads < 0.01 && watches < 0.01)
		})
	}
}
