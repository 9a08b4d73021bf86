package coordinator

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStoreCallsAtRest counts the calls of all nodes in an hour in which nothing
// changes, by the groups: two candidates each.
func TestStoreCallsAtRest(t *testing.T) {
	for _, groups := range []int{1, 3, 10, 33} {
		runners := make([]runner, groups)
		for i := range runners {
			runners[i] = runner{serves: fmt.Sprintf("m%02d", i)}
		}
		inFleet(t, runners, func(f *fleet) {
			time.Sleep(takeover)
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
