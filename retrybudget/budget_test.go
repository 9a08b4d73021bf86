package retrybudget

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/boottime"
)

func TestBudget(t *testing.T) {
	tests := []struct {
		name     string
		requests int
		nodes    int
		// allowed is the number of immediate retries: three quarters of 0.2 x requests + 40 / nodes.
		allowed int
	}{
		{"slack only", 0, 1, 30},
		{"equal share of the slack", 0, 4, 7},
		{"ratio of the requests and share of the slack", 100, 4, 22},
		{"unknown fleet counts as one node", 0, 0, 30},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			clock := boottime.Instant(time.Hour)
			b := New(Options{Ratio: 0.2, Slack: 40, Window: 10 * time.Second}, func() boottime.Instant { return clock }, func() int { return test.nodes })
			for range test.requests {
				b.Request("s")
			}
			assert.Equal(t, retryUntilRefused(b), test.allowed)
			assert.Assert(t, !b.Available("s"))
			assert.Assert(t, b.Available("another"))
			// Requests and retries leave the window together.
			clock = clock.Add(11 * time.Second)
			assert.Equal(t, retryUntilRefused(b), int(usableFraction*40/float64(max(test.nodes, 1))))
		})
	}
}

func retryUntilRefused(b *Budget) int {
	n := 0
	for b.Retry("s") {
		n++
	}
	return n
}
