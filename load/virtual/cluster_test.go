package virtual

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/deployment"
	"hawthornrill.example/hawthornrill/load"
)

// Under a burst of three times the capacity, complete nodes keep the service guarantees
// in all deployments, and every request has a result.
func TestOverload(t *testing.T) {
	for _, name := range deployment.Names() {
		t.Run(name, func(t *testing.T) {
			d, err := deployment.ByName(name)
			assert.NilError(t, err)
			report := runInVirtualTime(t, d, policies[0], load.Options{Seed: 1, Load: 3, Duration: 2 * time.Second})
			assert.Equal(t, report.Verdict.Violations(), 0, "%v", report.Verdict.Examples)
			row := report.Total
			assert.Assert(t, row.Offered > 100, "%d", row.Offered)
			assert.Equal(t, row.OnTime+row.Late+row.NotRun+row.Ran, row.Offered, "%+v", row)
			assert.Assert(t, row.Admitted >= row.OnTime+row.Late+row.Ran)
			assert.Assert(t, report.Prefill.Done > 0 && report.Prefill.Reused > 0 && report.PeerMessages > 0)
			assert.Assert(t, report.Calls.OnTime > 0)
		})
	}
}
