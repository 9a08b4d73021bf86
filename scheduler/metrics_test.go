package scheduler_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/scheduler"
	"hawthornrill.example/hawthornrill/scheduler/schedulertest"
)

func TestMetricsByTier(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newCluster(schedulertest.Script{DisconnectAt: []uint64{4}, ForgetOnDisconnect: true}, scheduler.Options{})
		defer b.close()
		a := b.nodes["a"]
		submit := func(client string, deadline time.Duration) {
			submitted := request(client)
			submitted.Organisation = organisation(2)
			submitted.PromptTokens = 70
			submitted.Deadline = deadline
			readAll(t, a.Submit(submitted))
		}
		submit("broken", time.Minute)
		submit("on time", time.Minute)
		submit("late", time.Second/2)
		var out strings.Builder
		a.WriteMetrics(&out)
		for _, line := range []string{
			`hawthornrill_requests_total{tier="2",outcome="complete",code=""} 2`,
			`hawthornrill_requests_total{tier="2",outcome="ran",code="endpoint_broken"} 1`,
			`hawthornrill_goodput_total{tier="2"} 1`,
			`hawthornrill_prompt_tokens_wasted_total{tier="2"} 70`,
			`hawthornrill_first_token_seconds_count{tier="2"} 2`,
		} {
			assert.Assert(t, strings.Contains(out.String(), line+"\n"), "%s in\n%s", line, out.String())
		}
	})
}
