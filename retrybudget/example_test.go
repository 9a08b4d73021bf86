package retrybudget_test

import (
	"fmt"
	"time"

	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/retrybudget"
)

// With two nodes, each may use the ratio of its own requests and half of the slack.
func Example() {
	nodes := func() int { return 2 }
	budget := retrybudget.New(retrybudget.Options{Ratio: 0.2, Slack: 4, Window: 10 * time.Second}, boottime.Now, nodes)
	for range 10 {
		budget.Request("chat")
	}
	allowed := 0
	for range 10 {
		if budget.Retry("chat") {
			allowed++
		}
	}
	fmt.Println(allowed, "of 10 retries")
	// Output: 3 of 10 retries
}
