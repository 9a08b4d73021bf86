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

// A node admits what the organisation's limit allows over all nodes, including the use that peers have reported.
func Example() {
	now := boottime.Instant(time.Hour)
	two := func() gossip.Fleet { return gossip.Fleet{Known: 2, Heard: 2} }
	limiter := tokenlimit.New(tokenlimit.Config{
		Window: 8 * time.Second, Clock: func() boottime.Instant { return now }, Fleet: two, Metrics: metrics.NewSet(),
	})
	cucine := &routetable.Organisation{ID: "cucine", Rate: 100, Burst: 200}
	limiter.AddAccounts([]routetable.Organisation{*cucine})
	now = now.Add(time.Minute) // a restarted node counts most of the limit as used
	other := gossip.Report{From: "palermo-2", Version: 1}
	limiter.ApplyReport(&other)
	other.Spent = []gossip.LimitUsage{{Organisation: "cucine", Total: 250}}
	limiter.ApplyReport(&other)
	for _, tokens := range []float64{40, 40} {
		ok, retry := limiter.Admit(cucine, tokens)
		fmt.Println(ok, retry)
	}
	// Output:
	// true 0s
	// false 300ms
}
