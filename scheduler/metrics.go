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

// metricSet counts requests by tier and outcome. Tiers, outcomes and codes have few
// values; organisations have many and are therefore not a label.
type metricSet struct {
	set *metrics.Set
}

func newMetricSet() *metricSet { return &metricSet{set: metrics.NewSet()} }

func (m *metricSet) recordEnd(tier domain.Tier, end answer.End) {
	outcome := string(end.Outcome)
	if end.Complete() {
		outcome = "complete"
	}
	name := fmt.Sprintf(`hawthornrill_requests_total{tier="%d",outcome=%q,code=%q}`, tier, outcome, end.Code)
	m.set.GetOrCreateCounter(name).Inc()
}

// recordDispatch records the result of a request dispatched by this node: the time to
// its first token, whether that met the deadline, and the prompt tokens processed in
// vain.
func (m *metricSet) recordDispatch(request *Request, first, limit time.Duration, result capacity.Result) {
	tier := request.Organisation.Rank
	if !result.Complete {
		prompt := max(result.PromptTokens, request.PromptTokens) - result.CachedTokens
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
