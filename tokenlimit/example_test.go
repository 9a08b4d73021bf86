package tokenlimit_test

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/gossip"
	"hawthornrill.example/hawthornrill/routetable"
	"hawthornrill.example/hawthornrill/tokenlimit"
)

// A node lets through what the organisation's limit allows over all nodes, with what others have told in their reports.
func Example() {
	now := boottime.Instant(time.Hour)
	two := func() gossip.Fleet { return gossip.Fleet{Known: 2, Heard: 2} }
	limiter := tokenlimit.New(tokenlimit.Parts{
		Window: 8 * time.Second, Clock: func() boottime.Instant { return now }, Fleet: two, Metrics: metrics.NewSet(),
	})
	cucine := &routetable.Organisation{ID: "cucine", Rate: 100, Burst: 200}
	limiter.Prepare([]routetable.Organisation{*cucine})
	now = now.Add(time.Minute) // a new life begins as if most had been used
	other := gossip.Report{From: "palermo-2", Version: 1}
	limiter.Heard(&other)
	other.Spent = []gossip.LimitUsage{{Organisation: "cucine", Total: 250}}
	limiter.Heard(&other)
	for _, tokens := range []float64{40, 40} {
		ok, retry := limiter.Admit(cucine, tokens)
		fmt.Println(ok, retry)
	}
	// Output:
	// true 0s
	// false 300ms
}
