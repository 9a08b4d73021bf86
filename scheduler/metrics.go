package scheduler

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hawthornrill.example/hawthornrill/answer"
	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/domain"
)

// metricSet counts requests by tier and by how they ended. Tiers, outcomes and
// codes are few; organisations are not, and stay out.
type metricSet struct {
	set *metrics.Set
}

func newMetricSet() *metricSet { return &metricSet{set: metrics.NewSet()} }

// ended counts one request.
func (m *metricSet) ended(tier domain.Tier, end answer.End) {
	outcome := string(end.Outcome)
	if end.Complete() {
		outcome = "complete"
	}
	name := fmt.Sprintf(`hawthornrill_requests_total{tier="%d",outcome=%q,code=%q}`, tier, outcome, end.Code)
	m.set.GetOrCreateCounter(name).Inc()
}

// dispatched records how a request dispatched here went: what it waited, whether
// its answer began in time, and what prompt processing was thrown away.
func (m *metricSet) dispatched(request *Request, first, limit time.Duration, use capacity.Result) {
	tier := request.Organisation.Rank
	if !use.Complete {
		prompt := max(use.PromptTokens, request.PromptTokens) - use.CachedTokens
		m.set.GetOrCreateCounter(fmt.Sprintf(`hawthornrill_prompt_tokens_wasted_total{tier="%d"}`, tier)).Add(prompt)
		return
	}
	m.set.GetOrCreateHistogram(fmt.Sprintf(`hawthornrill_first_token_seconds{tier="%d"}`, tier)).Update(first.Seconds())
	if first <= limit {
		m.set.GetOrCreateCounter(fmt.Sprintf(`hawthornrill_goodput_total{tier="%d"}`, tier)).Inc()
	}
}

// WriteMetrics writes the scheduler's metrics in Prometheus text format.
func (s *Scheduler) WriteMetrics(w io.Writer) { s.metrics.set.WritePrometheus(w) }
